/** What is done with an owner that does not answer, by what is known of it and of others. */

import { expect, it } from 'vitest'
import { ownerVerdict } from './ownerverdict.ts'

type Case = [owner: Parameters<typeof ownerVerdict>[0]['owner'], isOtherReached: boolean | undefined, isOverdue: boolean, verdict: ReturnType<typeof ownerVerdict>]

// Guards against owners that are given up by a host which reaches nobody itself.
it.each<Case>([
  ['taken', undefined, false, 'wait'],
  ['taken', false, false, 'wait'],
  ['refused', undefined, false, 'unreachable'],
  ['refused', false, false, 'unreachable'],
  ['silent', true, false, 'unreachable'],
  ['silent', undefined, false, 'unreachable'],
  ['silent', false, false, 'wait'],
  ['taken', true, true, 'overdue'],
  ['silent', false, true, 'overdue']
])('connection %s, another reached %s, overdue %s: %s', (owner, isOtherReached, isOverdue, verdict) => {
  expect(ownerVerdict({ owner, isOtherReached, isOverdue })).toBe(verdict)
})
