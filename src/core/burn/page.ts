/** The service level report as one self-contained HTML page. */

import { burnChart } from './chart.ts'
import { escapeText } from './escape.ts'
import type { BurnReport } from './report.ts'
import { style } from './style.ts'

type Level = BurnReport['levels'][number]
type Window = Level['windows'][number]
type DateOf = (at: number) => string

const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS
const FINE_STEP_MS = 5 * MINUTE_MS

const MEASURES: Readonly<Record<Level['level']['measure'], string>> = {
  urgentInTime: 'urgent requests answered in time',
  writesSucceed: 'writes done',
  stalenessKept: 'reads with a proof of their freshness',
  replicaShare: 'reads answered by a replica'
}

export function burnPage (report: BurnReport, dateOf: DateOf): string {
  const { now } = report.source
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1">',
    `<title>Burn of service levels, ${dateOf(now)}</title><style>${style}</style></head><body>`,
    '<h1>Burn of service levels</h1>',
    ...sourceLines(report, dateOf),
    ...report.levels.map(level => section(level, now, dateOf)),
    '</body></html>',
    ''
  ].join('\n')
}

function sourceLines (report: BurnReport, dateOf: DateOf): string[] {
  const { now, oldest, records, batchesRead, batchesThere, unreadable } = report.source
  const period = oldest === undefined ? `No records up to ${dateOf(now)}` : `From ${records} audit records between ${dateOf(oldest)} and ${dateOf(now)} (UTC)`
  const lines = [`<p>${period}, in ${batchesRead} batches.</p>`, '<p>A burn of 1 spends the error budget exactly over 3 days. Grey at the bottom of a chart: no data.</p>']
  if (report.dropped > 0) lines.push(warning(`${report.dropped} records were dropped by their processes and are not counted.`))
  if (batchesRead + unreadable.length < batchesThere) lines.push(warning(`Only ${batchesRead} of ${batchesThere} batches were counted.`))
  if (oldest !== undefined) lines.push(`<p>* Of these windows only what came after ${dateOf(oldest)} is known.</p>`)
  return [...lines, ...unreadable.map(problem => warning(`Not counted: ${problem}`))]
}

function warning (text: string): string {
  return `<p class="warning">${escapeText(text)}</p>`
}

function section (level: Level, now: number, dateOf: DateOf): string {
  const { name, pool, measure, target, withinMs } = level.level
  const within = withinMs === undefined ? '' : ` within ${withinMs} ms`
  return [
    '<section>',
    `<h2>${escapeText(name)}</h2>`,
    `<p>Pool ${escapeText(pool)}: at least ${percent(target)} of ${MEASURES[measure]}${within}.</p>`,
    '<table><tr><th>window</th><th>requests</th><th>bad</th><th>burn</th><th>budget left</th></tr>',
    ...level.windows.map(row),
    '</table>',
    '<div class="charts">',
    burnChart({ title: 'Burn in the last 3 days, by hour', burns: level.hours, labelOf: step => dateOf(now - (level.hours.length - step) * HOUR_MS) }),
    burnChart({ title: 'Burn in the last 6 hours, by 5 minutes', burns: level.minutes, labelOf: step => dateOf(now - (level.minutes.length - step) * FINE_STEP_MS) }),
    '</div>',
    '</section>'
  ].join('\n')
}

function row ({ name, isPartial, events, bad, burn, burnAtMost, left }: Window): string {
  const mark = burn !== undefined && burn > 1 ? ' class="over"' : ''
  const most = burnAtMost === undefined ? '' : ` (at most ${burnAtMost.toFixed(2)})`
  return `<tr><td>${name}${isPartial ? ' *' : ''}</td><td>${events}</td><td>${bad}</td>` +
    `<td${mark}>${burn === undefined ? 'no data' : burn.toFixed(2)}${most}</td>` +
    `<td${mark}>${left === undefined ? 'no data' : percent(left, 1)}</td></tr>`
}

function percent (share: number, digits = 3): string {
  return `${Number((share * 100).toFixed(digits))}%`
}
