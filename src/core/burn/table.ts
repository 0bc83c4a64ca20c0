/** The service level report as plain text. */

import type { BurnReport } from './report.ts'

type Level = BurnReport['levels'][number]
type Window = Level['windows'][number]

export function burnTable (report: BurnReport, dateOf: (at: number) => string): string {
  const rows = [
    ['service level', 'pool', 'target', 'window', 'requests', 'bad', 'burn', 'budget left'],
    ...report.levels.flatMap(level => level.windows.map((window, i) => rowOf(level, window, i === 0)))
  ]
  const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]!.length)))
  const lines = rows.map(row => row.map((cell, i) => i < 4 ? cell.padEnd(widths[i]!) : cell.padStart(widths[i]!)).join(' | ').trimEnd())
  lines.splice(1, 0, widths.map(width => '-'.repeat(width)).join('-+-'))
  return [...sourceLines(report, dateOf), '', ...lines].join('\n')
}

function rowOf ({ level }: Level, window: Window, isFirst: boolean): string[] {
  const { name, isPartial, events, bad, burn, burnAtMost, left } = window
  const most = burnAtMost === undefined ? '' : ` (at most ${burnAtMost.toFixed(2)})`
  return [
    isFirst ? level.name : '', isFirst ? level.pool : '', isFirst ? percent(level.target) : '', isPartial ? `${name} *` : name,
    String(events), String(bad),
    (burn === undefined ? 'no data' : burn.toFixed(2)) + most,
    left === undefined ? 'no data' : percent(left, 1)
  ]
}

/** The source of the figures: their period, batches, dropped records and what couldn't be read. */
function sourceLines (report: BurnReport, dateOf: (at: number) => string): string[] {
  const { now, oldest, records, batchesRead, batchesThere, unreadable } = report.source
  const period = oldest === undefined ? 'no records' : `records from ${dateOf(oldest)} to ${dateOf(now)}`
  const lines = [`${period}: ${records} in ${batchesRead} batches; ${report.dropped} dropped by their processes`]
  if (batchesRead + unreadable.length < batchesThere) lines.push(`only ${batchesRead} of ${batchesThere} batches were counted; run it again, or see --most`)
  if (oldest !== undefined) lines.push(`* of this window only what came after ${dateOf(oldest)} is known`)
  return [...lines, ...unreadable.map(problem => `not counted: ${problem}`)]
}

function percent (share: number, digits = 3): string {
  return `${Number((share * 100).toFixed(digits))}%`
}
