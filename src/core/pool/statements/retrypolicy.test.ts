/** What waits, and what is refused at once. */

import { describe, expect, it } from 'vitest'
import { PatientRetryPolicy } from './patientretrypolicy.ts'
import { FailFastRetryPolicy } from './failfastretrypolicy.ts'

const patient = PatientRetryPolicy.create()
const leader = { remainingMs: 1000, serviceMs: 20, statementTimeoutMs: 1000, leaderlessMs: undefined, expectedMs: 800, rank: 1, timesWaited: 0, waiting: 0, connections: 4 }
const room = { remainingMs: 1000, serviceMs: 20, pauses: 0, chance: 0.5 }

/** A step as text, such as `wait 100` or `leaderLate 2500`. */
function text (step: ReturnType<PatientRetryPolicy['forLeader']>): string {
  if (step.kind === 'go') return 'go'
  return step.kind === 'wait' ? `wait ${step.ms}${step.areRefusalsReset ? ' anew' : ''}` : `${step.cause} ${step.retryAfterMs}`
}

describe('a statement that needs a primary', () => {
  it.each<[string, Partial<typeof leader> | { expectedMs: undefined, leaderlessMs?: number }, string]>([
    ['waits for one that comes in its time', {}, 'wait 100 anew'],
    ['waits for one that comes in the time of the next try', { expectedMs: 1900, timesWaited: 1 }, 'wait 100'],
    ['is refused when that is too late as well', { expectedMs: 2000 }, 'leaderLate 2000'],
    ['is refused early enough to be asked again', { remainingMs: 20 }, 'leaderLate 800'],
    ['waits no longer than that', { remainingMs: 50 }, 'wait 30 anew'],
    ['is refused when nobody is about to lead', { expectedMs: undefined }, 'noLeader 500'],
    ['waits for the news of one that leads already', { expectedMs: undefined, leaderlessMs: 40 }, 'wait 60'],
    ['is refused without such news', { expectedMs: undefined, leaderlessMs: 100 }, 'noLeader 500'],
    ['is refused where the primary could not serve it after the others', { waiting: 150 }, 'crowded 1555'],
    ['waits beside as many when it is urgent', { waiting: 150, rank: 0, timesWaited: 3 }, 'wait 100 anew'],
    ['is refused beside fewer when it is not', { waiting: 100, rank: 2 }, 'crowded 1305']
  ])('%s', (_, lack, step) => {
    expect(text(patient.forLeader({ ...leader, ...lack }))).toBe(step)
  })
})

describe('a statement that endpoints had no room for', () => {
  it.each<[string, Partial<typeof room>, string]>([
    ['is tried again after a statement or so', {}, 'wait 20 anew'],
    ['not at the moment at which others are', { chance: 0 }, 'wait 10 anew'],
    ['after a longer pause each time', { pauses: 2 }, 'wait 80 anew'],
    ['but not for ever', { pauses: 3 }, 'full 160'],
    ['nor when its time is nearly up', { remainingMs: 39 }, 'full 20']
  ])('%s', (_, lack, step) => {
    expect(text(patient.forRoom({ ...room, ...lack }))).toBe(step)
  })
})

it('a statement whose primary is in doubt waits until that is settled', () => {
  expect([patient.forReach(room), patient.forReach({ ...room, pauses: 5 }), patient.forReach({ ...room, remainingMs: 119 })].map(text)).toEqual(['wait 100', 'unreachable 100', 'unreachable 100'])
})

it('where every host has connections nothing waits but for news', () => {
  const prompt = FailFastRetryPolicy.create()
  expect([prompt.forLeader(leader), prompt.forLeader({ ...leader, leaderlessMs: 40 }), prompt.forRoom(), prompt.forReach(), prompt.forBudget()].map(text)).toEqual(['noLeader 500', 'wait 60', 'go', 'unreachable 500', 'budget 500'])
  expect([prompt, patient].map(one => one.isRetriedElsewhere({ what: 'write', isInTransaction: true }) || one.isRetriedElsewhere({ what: 'write', isInTransaction: false }))).toEqual([false, true])
  expect([prompt.isAbandoned(), patient.isAbandoned(false), patient.isAbandoned(true)]).toEqual([false, false, true])
})
