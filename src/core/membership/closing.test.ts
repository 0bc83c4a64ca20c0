/** When a proxy that drains closes a caller's connection. */

import { describe, expect, it } from 'vitest'
import { decideClosing } from './closing.ts'

type Moment = Parameters<typeof decideClosing>[0]

const pace = { transactionsMs: 10_000, callersMs: 5000, idleMs: 500, pauseMs: 20 }
const moment = (change: Partial<Moment>): Moment =>
  ({ kind: 'asked', isInTransaction: false, idleMs: 0, shortestGapMs: 30, leavingMs: 100, ...change })

describe('decideClosing', () => {
  it.each<[string, Partial<Moment>, string]>([
    ['a request is run while the time lasts', { kind: 'asked' }, 'go'],
    ['a caller without a pause is refused when its time is over', { kind: 'asked', shortestGapMs: 0, leavingMs: 5000 }, 'refuse'],
    ['a caller that pauses is closed after its answer', { kind: 'answered' }, 'close'],
    ['one that sends at once is not: its next request is on its way', { kind: 'answered', shortestGapMs: 19 }, 'go'],
    ['nor is it when its time is over: the next one is refused instead', { kind: 'answered', shortestGapMs: 0, leavingMs: 6000 }, 'go'],
    ['a pausing caller is not closed between requests', { kind: 'idle', idleMs: 499 }, 'go'],
    ['one that was idle for long is', { kind: 'idle', idleMs: 500 }, 'close'],
    ['a transaction outlives the time of callers', { kind: 'asked', isInTransaction: true, leavingMs: 9999 }, 'go'],
    ['its answers close nothing', { kind: 'answered', isInTransaction: true, idleMs: 900 }, 'go'],
    ['nor does its idling', { kind: 'idle', isInTransaction: true, idleMs: 900 }, 'go'],
    ['its time over, its statement is refused', { kind: 'asked', isInTransaction: true, leavingMs: 10_000 }, 'refuse'],
    ['its time over, it is closed', { kind: 'idle', isInTransaction: true, leavingMs: 10_000 }, 'close']
  ])('%s', (_, change, decision) => {
    expect(decideClosing(moment(change), pace)).toBe(decision)
  })
})
