/** What is done with an owner that does not answer, by what is known of it and of others. */

import { expect, it } from 'vitest'
import { ownerVerdict } from './ownerverdict.ts'

type Case = [isReached: boolean, isOtherReached: boolean | undefined, isOverdue: boolean, verdict: ReturnType<typeof ownerVerdict>]

// Guards against owners that are given up by a host which reaches nobody itself.
it.each<Case>([
  [true, undefined, false, 'wait'],
  [true, false, false, 'wait'],
  [false, true, false, 'unreachable'],
  [false, undefined, false, 'unreachable'],
  [false, false, false, 'wait'],
  [true, true, true, 'overdue'],
  [false, false, true, 'overdue']
])('reached %s, another %s, overdue %s: %s', (isReached, isOtherReached, isOverdue, verdict) => {
  expect(ownerVerdict({ isReached, isOtherReached, isOverdue })).toBe(verdict)
})
