/** When a draining proxy closes a caller's connection. */

import { describe, expect, it } from 'vitest'
import { decideClosing } from './closing.ts'

type ConnectionState = Parameters<typeof decideClosing>[0]

const timings = { transactionsMs: 10_000, callersMs: 5000, idleMs: 500, pauseMs: 20 }
const state = (change: Partial<ConnectionState>): ConnectionState =>
  ({ kind: 'asked', isInTransaction: false, isReceiving: false, idleMs: 0, shortestGapMs: 30, leavingMs: 100, ...change })

describe('decideClosing', () => {
  it.each<[string, Partial<ConnectionState>, string]>([
    ['runs a request within the time limit', { kind: 'asked' }, 'go'],
    ['refuses a caller that never pauses, after the time limit', { kind: 'asked', shortestGapMs: 0, leavingMs: 5000 }, 'refuse'],
    ['closes a caller that pauses, after its answer', { kind: 'answered' }, 'close'],
    ['leaves a caller open that sends at once, since its next request is on its way', { kind: 'answered', shortestGapMs: 19 }, 'go'],
    ['leaves it open after the time limit too, and refuses its next request instead', { kind: 'answered', shortestGapMs: 0, leavingMs: 6000 }, 'go'],
    ['leaves a pausing caller open between requests', { kind: 'idle', idleMs: 499 }, 'go'],
    ['closes a caller that was idle for long', { kind: 'idle', idleMs: 500 }, 'close'],
    ['runs statements of a transaction after the time limit of callers', { kind: 'asked', isInTransaction: true, leavingMs: 9999 }, 'go'],
    ['leaves a transaction open after an answer', { kind: 'answered', isInTransaction: true, idleMs: 900 }, 'go'],
    ['leaves a transaction open while it is idle', { kind: 'idle', isInTransaction: true, idleMs: 900 }, 'go'],
    ['refuses a statement of a transaction after its time limit', { kind: 'asked', isInTransaction: true, leavingMs: 10_000 }, 'refuse'],
    ['closes an idle transaction after its time limit', { kind: 'idle', isInTransaction: true, leavingMs: 10_000 }, 'close'],
    ['closes a caller that was refused', { kind: 'refused', leavingMs: 5000 }, 'close'],
    ['reads what a caller has sent ahead of its answer', { kind: 'answered', isReceiving: true }, 'go'],
    ['reads what an idle caller has begun to send', { kind: 'idle', idleMs: 500, isReceiving: true, leavingMs: 5499 }, 'go'],
    ['waits no longer than the idle time after the limit for the rest of it', { kind: 'idle', idleMs: 500, isReceiving: true, leavingMs: 5500 }, 'close'],
    ['refuses what a caller has sent ahead of its refusal', { kind: 'refused', isReceiving: true, leavingMs: 5499 }, 'go'],
    ['closes a caller that sends on after refusals', { kind: 'refused', isReceiving: true, leavingMs: 5500 }, 'close']
  ])('%s', (_, change, decision) => {
    expect(decideClosing(state(change), timings)).toBe(decision)
  })
})
