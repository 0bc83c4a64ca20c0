/**
 * `npm run bench -- [names] [--check]`: runs the named benchmarks, or the quick
 * ones, writes bench/results/<name>.json, and with `--check` fails when a bound
 * is passed. bench/README.md says what each measures.
 */

import { execFileSync } from 'node:child_process'
import { mkdirSync, writeFileSync } from 'node:fs'
import { audit } from './audit.ts'
import type { Benchmark } from './benchmark.ts'
import { callers } from './callers.ts'
import { control } from './control.ts'
import { core } from './core.ts'
import { document } from './document.ts'
import { failover } from './failover.ts'
import { gossip } from './gossip.ts'
import { idle } from './idle.ts'
import { limitsBenchmark } from './limits.ts'
import { patches } from './patches.ts'
import { placement } from './placement.ts'
import { policyBenchmark } from './policy.ts'
import { proxy } from './proxy.ts'
import { reads } from './reads.ts'

/** Those that end within three minutes together; they run when none is named. */
const QUICK: readonly Benchmark[] = [core, limitsBenchmark, policyBenchmark, audit, control, document, proxy]
const BENCHMARKS: readonly Benchmark[] = [...QUICK, callers, failover, gossip, idle, patches, placement, reads]
const RESULTS = 'bench/results'
const DIGITS = 4

const args = process.argv.slice(2)
const isCheck = args.includes('--check')
const names = args.filter(one => !one.startsWith('--'))
const unknown = names.find(name => !BENCHMARKS.some(one => one.name === name))
if (unknown !== undefined) {
  process.stderr.write(`no benchmark "${unknown}"; name one of ${BENCHMARKS.map(one => one.name).join(', ')}\n`)
  process.exit(2)
}

let isWithin = true
mkdirSync(RESULTS, { recursive: true })
for (const benchmark of names.length === 0 ? QUICK : BENCHMARKS.filter(one => names.includes(one.name))) {
  isWithin = await measure(benchmark) && isWithin
}
process.exit(isCheck && !isWithin ? 1 : 0)

async function measure ({ name, bounds, run }: Benchmark): Promise<boolean> {
  const figures = Object.fromEntries(Object.entries(await run()).map(([key, value]) => [key, round(value)]))
  const broken = bounds.filter(({ figure, atLeast, atMost }) => {
    const value = figures[figure]
    return value === undefined || Number.isNaN(value) || value < (atLeast ?? -Infinity) || value > (atMost ?? Infinity)
  })
  const result = { name, commit: commit(), date: new Date().toISOString(), node: process.version, figures, broken }
  writeFileSync(`${RESULTS}/${name}.json`, JSON.stringify(result, null, 2) + '\n')
  print(name, figures, broken)
  return broken.length === 0
}

function print (name: string, figures: Readonly<Record<string, number>>, broken: Benchmark['bounds']): void {
  process.stdout.write(`${name}\n`)
  for (const [figure, value] of Object.entries(figures)) {
    const bound = broken.find(one => one.figure === figure)
    const note = bound === undefined ? '' : `   passes its bound: ${JSON.stringify(bound)}`
    process.stdout.write(`  ${figure.padEnd(40)} ${value}${note}\n`)
  }
}

function round (value: number): number {
  return Number(value.toPrecision(Math.abs(value) >= 10 ** DIGITS ? Math.ceil(Math.log10(Math.abs(value) + 1)) : DIGITS))
}

/** The commit measured; marked when there are changes beside it, results excepted. */
function commit (): string {
  const git = (...rest: string[]): string => execFileSync('git', rest, { encoding: 'utf8' }).trim()
  const isChanged = git('status', '--porcelain', '--', '.', `:!${RESULTS}`) !== ''
  return git('rev-parse', '--short=12', 'HEAD') + (isChanged ? '+changes' : '')
}
