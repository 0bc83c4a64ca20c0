/** Which teams are listed as the largest and for how long, and that no number of small teams hides a large one. */

import { expect, it } from 'vitest'
import type { Instant } from '../../id/instant.ts'
import { TeamUsage } from './teamusage.ts'

const at = (ms: number) => ms as Instant

function use (...asked: ReadonlyArray<readonly [number, string, 'done' | 'refused']>): TeamUsage {
  const usage = TeamUsage.create(at(0))
  for (const [ms, team, ending] of asked) usage.add(team, ending, at(ms))
  return usage
}

it('lists the largest first, and the sum of the others', () => {
  const usage = use([0, 'red', 'done'], [1, 'blue', 'done'], [2, 'blue', 'refused'], [3, 'green', 'done'])
  expect(usage.largest(1, at(4))).toEqual({ teams: [{ team: 'blue', done: 1, refused: 1 }], rest: { done: 2, refused: 0 } })
})

it.each([[4999, 2], [5000, 2], [9999, 2], [10_000, 0], [30_000, 0]])('after %i ms it counts %i statements', (ms, expected) => {
  expect(use([0, 'red', 'done'], [1, 'red', 'done']).largest(1, at(ms)).teams[0]?.done ?? 0).toBe(expected)
})

it('one large team stays among ten thousand small ones, and no statement is lost', () => {
  // One team with a twentieth of all statements must stay visible among ten thousand others; each new one evicts the team with the fewest statements, and
  // the large team came late.
  const usage = TeamUsage.create(at(0))
  for (let i = 0; i < 10_000; i++) {
    usage.add(`t${i}`, 'done', at(0))
    if (i > 500 && i % 20 === 0) usage.add('hot', 'refused', at(0))
  }
  const { teams, rest } = usage.largest(3, at(1))
  expect(teams[0]).toEqual({ team: 'hot', done: 0, refused: 474 })
  expect(rest.done + teams.reduce((sum, { done }) => sum + done, 0)).toBe(10_000)
})
