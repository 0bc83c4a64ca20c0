/** The table of `npm run scenarios`. */

import type { runScript } from './world/run.ts'

type Report = Awaited<ReturnType<typeof runScript>>

interface Row {
  readonly name: string
  readonly seed: number
  readonly report: Report
}

const HEAD = ['scenario', 'seed', 'calls', 'gap', 'replica', 'unknown', 'refused', 'promotions', 'result']

/** One line a scenario, then what failed and the breaches in sentences. */
export function tableOf (rows: readonly Row[]): string {
  const cells = [HEAD, ...rows.map(cellsOf)]
  const widths = HEAD.map((_, i) => Math.max(...cells.map(line => line[i]!.length)))
  const lines = cells.map(line => line.map((cell, i) => cell.padEnd(widths[i]!)).join('  ').trimEnd())
  const bad = rows.filter(({ report }) => report.failures.length > 0).flatMap(({ name, seed, report }) =>
    ['', `${name} (seed ${seed}):`, ...report.failures, ...report.breaches])
  return [...lines, ...bad].join('\n') + '\n'
}

function cellsOf ({ name, seed, report }: Row): readonly string[] {
  const { figures, calls, failures } = report
  return [
    name,
    `${seed}`,
    `${calls}`,
    `${(figures.gap! / 1000).toFixed(3)}s`,
    percent(figures['replica share']!),
    percent(figures['unknown share']!),
    percent(figures['refused share']!),
    `${figures.promotions}`,
    failures.length === 0 ? 'as expected' : 'FAILED'
  ]
}

function percent (share: number): string {
  return `${(share * 100).toFixed(1)}%`
}
