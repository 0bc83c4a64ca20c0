/** Formats a load snapshot as lines for a terminal. */

import { classes } from '../core/admission/classes.ts'
import type { LoadSnapshot } from '../core/pool/load/loadsnapshot.ts'

type Group = LoadSnapshot['groups'][number]
type Row = readonly string[]

/** Teams that are listed for each group; `--json` lists all that the hosts reported. */
const MAX_TEAMS = 5

/** `silent` has the addresses of hosts that didn't report. */
export function loadLines ({ hosts, groups }: LoadSnapshot, silent: readonly string[]): readonly string[] {
  return [
    `${hosts.length} hosts told${silent.length === 0 ? '' : `, ${silent.length} did not: ${silent.join(', ')}`}`,
    ...groups.flatMap(group => ['', ...linesOf(group)])
  ]
}

function linesOf (group: Group): readonly string[] {
  const { teams, rest } = group
  const total = teams.reduce((sum, team) => sum + requestCount(team), requestCount(rest))
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
      ...shown.map(row => [row.team, percentage(requestCount(row), total), String(row.done), String(row.refused)]),
      ['all others', percentage(requestCount(others), total), String(others.done), String(others.refused)]
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

function percentage (count: number, total: number): string {
  return total === 0 ? '-' : `${Math.round(count / total * 100)}%`
}
