/** Merging and parsing the snapshots of several hosts. */

import { expect, it } from 'vitest'
import { LoadSnapshot } from './loadsnapshot.ts'

type Group = LoadSnapshot['groups'][number]

const ENDPOINT = { endpoint: 'e', isPrimary: true, isLeaving: false, places: 5, connections: 4, atWork: 2, waiting: [0, 1, 2], unreached: 0 }

function host (name: string, group: Partial<Group> = {}): LoadSnapshot {
  return LoadSnapshot.of(name, [{
    group: 'g', owners: 1, classes: [{ done: 5, refused: 0 }, { done: 1, refused: 2 }], teams: [{ team: 'red', done: 6, refused: 2 }], rest: { done: 0, refused: 0 }, endpoints: [ENDPOINT], ...group
  }])
}

it('adds up the load of hosts at an endpoint, and sets a flag if one of them sets it', () => {
  const { hosts, groups: [group] } = host('h1').with(host('h2', { endpoints: [{ ...ENDPOINT, isPrimary: false, isLeaving: true, unreached: 1 }] }))
  expect([hosts, group!.owners, group!.classes[1]]).toEqual([['h1', 'h2'], 2, { done: 2, refused: 4 }])
  expect(group!.endpoints).toEqual([{ ...ENDPOINT, isLeaving: true, connections: 8, atWork: 4, waiting: [0, 2, 4], unreached: 1 }])
})

it('counts a host that is queried twice once', () => {
  expect(host('h1').with(host('h1'))).toEqual(host('h1'))
})

it('keeps the largest teams of all hosts, and the others in one sum', () => {
  const many = (name: string) => host(name, { teams: Array.from({ length: LoadSnapshot.maxTeams }, (_, i) => ({ team: `${name}-${i}`, done: i + 1, refused: 0 })) })
  const [group] = many('a').with(many('b')).groups
  const { length } = group!.teams
  expect([length, group!.teams[0]!.done, group!.teams.at(-1)!.done]).toEqual([LoadSnapshot.maxTeams, 16, 9])
  expect(group!.rest.done).toBe(2 * 36)
})

it.each<[string, unknown, boolean]>([
  ['its own JSON', JSON.parse(JSON.stringify(host('h1'))), true],
  ['another program\'s JSON', { status: 'ok' }, false],
  ['nothing', undefined, false]
])('parses %s', (_name, value, isRead) => {
  expect(LoadSnapshot.parse(value)).toEqual(isRead ? host('h1') : undefined)
})
