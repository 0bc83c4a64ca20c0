/** A picture of load as lines for a terminal. */

import { classes } from '../core/admission/classes.ts'
import type { LoadSnapshot } from '../core/pool/load/loadsnapshot.ts'

type Group = LoadSnapshot['groups'][number]
type Row = readonly string[]

/** Teams of a group that are shown; `--json` has all that the hosts told. */
const MAX_TEAMS = 5

/** `silent`: hosts that didn't tell. */
export function loadLines ({ hosts, groups }: LoadSnapshot, silent: readonly string[]): readonly string[] {
  return [
    `${hosts.length} hosts told${silent.length === 0 ? '' : `, ${silent.length} did not: ${silent.join(', ')}`}`,
    ...groups.flatMap(group => ['', ...linesOf(group)])
  ]
}

function linesOf (group: Group): readonly string[] {
  const { teams, rest } = group
  const all = teams.reduce((sum, one) => sum + requestCount(one), requestCount(rest))
  const shown = teams.slice(0, MAX_TEAMS)
  const others = teams.slice(MAX_TEAMS).reduce((sum, { done, refused }) => ({ done: sum.done + done, refused: sum.refused + refused }), rest)
  return [
    `group ${group.group}, ${group.owners} owners`,
    ...table([
      ['endpoint', '', 'places', 'at work', 'connections', ...classes.map(name => `${name} wait`)],
      ...group.endpoints.map(({ endpoint, isPrimary, isLeaving, places, atWork, connections, waiting, unreached }) => [
        endpoint,
        [isPrimary ? 'primary' : 'replica', ...isLeaving ? ['leaves'] : [], ...unreached > 0 ? [`out of reach of ${unreached} hosts`] : []].join(', '),
        places === undefined ? '-' : String(places), String(atWork), String(connections), ...classes.map((_, rank) => String(waiting[rank] ?? 0))
      ])
    ]),
    ...table([
      ['class', 'done', 'refused'],
      ...group.classes.map(({ done, refused }, rank) => [classes[rank] ?? String(rank), String(done), String(refused)])
    ]),
    ...table([
      ['team', 'part', 'done', 'refused'],
      ...shown.map(one => [one.team, percentage(requestCount(one), all), String(one.done), String(one.refused)]),
      ['all others', percentage(requestCount(others), all), String(others.done), String(others.refused)]
    ])
  ]
}

function table (rows: readonly Row[]): readonly string[] {
  const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]!.length)))
  return rows.map(row => `  ${row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ')}`.trimEnd())
}

function requestCount ({ done, refused }: Group['rest']): number {
  return done + refused
}

function percentage (count: number, all: number): string {
  return all === 0 ? '-' : `${Math.round(count / all * 100)}%`
}
