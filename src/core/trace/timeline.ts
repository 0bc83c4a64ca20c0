/** The timeline of one request, from the logs of several hosts. */

import type { LogLine } from './logline.ts'

/** How long before and after a request other lines are included: longer than a promotion takes. */
const CONTEXT_MS = 5000
/** Events of single statements, which are about other requests. */
const STATEMENT_EVENTS = new Set([6002, 6003, 6004])

/**
 * The lines of the request and of its transaction, marked with `>`, and other
 * lines of its host or about its group around that time, in order of time. Empty
 * when no line has the id.
 */
export function timelineOf (id: string, lines: readonly LogLine[]): readonly string[] {
  const own = lines.filter(line => line.isAbout(id))
  if (own.length === 0) return []
  const transactions = new Set(own.map(line => line.fields.get('transaction')).filter(one => one !== undefined && one !== 'none'))
  const isOwn = (line: LogLine) => line.isAbout(id) || [...transactions].some(one => line.isAbout(one!))
  const hosts = new Set(own.map(({ host }) => host))
  const groups = new Set(own.map(line => line.fields.get('group')).filter(group => group !== undefined))
  const first = Math.min(...own.map(({ at }) => at)) - CONTEXT_MS
  const last = Math.max(...own.map(({ at }) => at)) + CONTEXT_MS
  const isAround = (line: LogLine) => line.at >= first && line.at <= last && !STATEMENT_EVENTS.has(line.event) &&
    (hosts.has(line.host) || groups.has(line.fields.get('group') ?? ''))
  return lines
    .filter(line => isOwn(line) || isAround(line))
    .sort((a, b) => a.at - b.at)
    .map(line => `${isOwn(line) ? '> ' : '  '}${line}`)
}
