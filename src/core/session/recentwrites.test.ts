/** Guards against a bound that is narrowed below a session's own write. */

import { describe, expect, it } from 'vitest'
import type { Position } from '../id/position.ts'
import type { Term } from '../id/term.ts'
import { Token } from '../token.ts'
import { RecentWrites } from './recentwrites.ts'

const createWrites = (term: number, writers: ReadonlyArray<[number, number]>, most = 8): RecentWrites => {
  const writes = RecentWrites.create(most)
  for (const [position, session] of writers) writes.add(term as Term, position as Position, session)
  return writes
}

describe('RecentWrites', () => {
  it.each([
    ['the session\'s own newest write', [[4, 1], [5, 7], [6, 1]], '2:6', 7, 0, '2:5'],
    ['no own write above the floor', [[5, 1], [6, 1]], '2:6', 7, 4, '2:4'],
    ['a gap may be the session\'s own write', [[4, 1], [6, 1]], '2:6', 7, 3, '2:5'],
    ['a bound above the newest notice', [[5, 1]], '2:6', 7, 4, '2:6'],
    ['a bound below the floor', [[5, 1]], '2:3', 7, 4, '2:3'],
    ['a bound of another term', [[5, 1], [6, 1]], '3:6', 7, 4, '3:6']
  ] as const)('%s', (_, writers, bound, session, floor, token) => {
    const writes = createWrites(2, writers as unknown as Array<[number, number]>)
    expect(writes.narrowBound(Token.parse(bound)!, session, floor as Position).toString()).toBe(token)
  })

  it('drops the oldest notices, which then count as gaps', () => {
    const writes = createWrites(1, [[1, 1], [2, 1], [3, 1]], 2)
    expect(writes.narrowBound(Token.of(1, 3), 7, 0 as Position).toString()).toBe('1:1')
  })

  it('drops the notices of an older term and ignores late ones', () => {
    const writes = createWrites(1, [[1, 1], [2, 1]])
    writes.add(2 as Term, 2 as Position, 1)
    writes.add(1 as Term, 3 as Position, 1)
    expect(writes.findGap(Token.of(2, 3), 0 as Position)).toBe(3)
    expect(writes.findGap(Token.of(2, 2), 1 as Position)).toBeUndefined()
  })
})
