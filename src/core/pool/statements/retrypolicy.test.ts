/** Guards against refusing a statement that could be served in time, and against holding one that can't. */

import { describe, expect, it } from 'vitest'
import { PatientRetryPolicy } from './patientretrypolicy.ts'
import { FailFastRetryPolicy } from './failfastretrypolicy.ts'

const patient = PatientRetryPolicy.create()
const leader = { remainingMs: 1000, serviceMs: 20, statementTimeoutMs: 1000, leaderlessMs: undefined, expectedMs: 800, rank: 1, timesWaited: 0, waiting: 0, connections: 4 }
const room = { remainingMs: 1000, serviceMs: 20, pauses: 0, chance: 0.5 }

/** A decision as text, such as `wait 100` or `leaderLate 2500`. */
function text (decision: ReturnType<PatientRetryPolicy['forLeader']>): string {
  if (decision.kind === 'go') return 'go'
  return decision.kind === 'wait' ? `wait ${decision.ms}${decision.areRefusalsReset ? ' anew' : ''}` : `${decision.cause} ${decision.retryAfterMs}`
}

describe('a statement that needs a primary', () => {
  it.each<[string, Partial<typeof leader> | { expectedMs: undefined, leaderlessMs?: number }, string]>([
    ['waits for one that is expected in its time', {}, 'wait 100 anew'],
    ['waits for one that is expected in the time of the next try', { expectedMs: 1900, timesWaited: 1 }, 'wait 100'],
    ['is refused when it is expected later than that', { expectedMs: 2000 }, 'leaderLate 2000'],
    ['is refused while there is no time left to run it', { remainingMs: 20 }, 'leaderLate 800'],
    ['waits no longer than its remaining time allows', { remainingMs: 50 }, 'wait 30 anew'],
    ['is refused when no primary is expected', { expectedMs: undefined }, 'noLeader 500'],
    ['waits for the report of a new primary', { expectedMs: undefined, leaderlessMs: 40 }, 'wait 60'],
    ['is refused once that report is overdue', { expectedMs: undefined, leaderlessMs: 100 }, 'noLeader 500'],
    ['is refused when too many wait before it', { waiting: 150 }, 'crowded 1555'],
    ['waits behind as many when it is urgent', { waiting: 150, rank: 0, timesWaited: 3 }, 'wait 100 anew'],
    ['is refused behind fewer when it is less urgent', { waiting: 100, rank: 2 }, 'crowded 1305']
  ])('%s', (_, change, step) => {
    expect(text(patient.forLeader({ ...leader, ...change }))).toBe(step)
  })
})

describe('a statement that endpoints refused for lack of capacity', () => {
  it.each<[string, Partial<typeof room>, string]>([
    ['is tried again after about the time of a statement', {}, 'wait 20 anew'],
    ['with jitter', { chance: 0 }, 'wait 10 anew'],
    ['after a longer wait each time', { pauses: 2 }, 'wait 80 anew'],
    ['a limited number of times', { pauses: 3 }, 'full 160'],
    ['not when its time is nearly up', { remainingMs: 39 }, 'full 20']
  ])('%s', (_, change, step) => {
    expect(text(patient.forRoom({ ...room, ...change }))).toBe(step)
  })
})

it('a statement whose primary is suspect waits until its state is known', () => {
  expect([patient.forReach(room), patient.forReach({ ...room, pauses: 5 }), patient.forReach({ ...room, remainingMs: 119 })].map(text)).toEqual(['wait 100', 'unreachable 100', 'unreachable 100'])
})

it('the fail-fast policy waits only for the report of a new primary', () => {
  const failFast = FailFastRetryPolicy.create()
  expect([failFast.forLeader(leader), failFast.forLeader({ ...leader, leaderlessMs: 40 }), failFast.forRoom(), failFast.forReach(), failFast.forBudget()].map(text)).toEqual(['noLeader 500', 'wait 60', 'go', 'unreachable 500', 'budget 500'])
  expect([failFast, patient].map(one => one.isRetriedElsewhere({ what: 'write', isInTransaction: true }) || one.isRetriedElsewhere({ what: 'write', isInTransaction: false }))).toEqual([false, true])
  expect([failFast.isAbandoned(), patient.isAbandoned(false), patient.isAbandoned(true)]).toEqual([false, false, true])
})
