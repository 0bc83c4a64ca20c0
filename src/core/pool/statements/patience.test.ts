/** What waits, and what is refused at once. */

import { describe, expect, it } from 'vitest'
import { Patient } from './patient.ts'
import { Prompt } from './prompt.ts'

const patient = Patient.create()
const leader = { leftMs: 1000, serviceMs: 20, statementMs: 1000, missingMs: undefined, expectedMs: 800, rank: 1, looks: 0, waiting: 0, connections: 4 }
const room = { leftMs: 1000, serviceMs: 20, pauses: 0, chance: 0.5 }

/** A step as text, such as `wait 100` or `leaderLate 2500`. */
function text (step: ReturnType<Patient['forLeader']>): string {
  if (step.kind === 'go') return 'go'
  return step.kind === 'wait' ? `wait ${step.ms}${step.isAnew ? ' anew' : ''}` : `${step.cause} ${step.retryAfterMs}`
}

describe('a statement that needs a primary', () => {
  it.each<[string, Partial<typeof leader> | { expectedMs: undefined, missingMs?: number }, string]>([
    ['waits for one that comes in its time', {}, 'wait 100 anew'],
    ['waits for one that comes in the time of the next try', { expectedMs: 1900, looks: 1 }, 'wait 100'],
    ['is refused when that is too late as well', { expectedMs: 2000 }, 'leaderLate 2000'],
    ['is refused early enough to be asked again', { leftMs: 20 }, 'leaderLate 800'],
    ['waits no longer than that', { leftMs: 50 }, 'wait 30 anew'],
    ['is refused when nobody is about to lead', { expectedMs: undefined }, 'noLeader 500'],
    ['waits for the news of one that leads already', { expectedMs: undefined, missingMs: 40 }, 'wait 60'],
    ['is refused without such news', { expectedMs: undefined, missingMs: 100 }, 'noLeader 500'],
    ['is refused where the primary could not serve it after the others', { waiting: 150 }, 'crowded 1555'],
    ['waits beside as many when it is urgent', { waiting: 150, rank: 0, looks: 3 }, 'wait 100 anew'],
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
    ['nor when its time is nearly up', { leftMs: 39 }, 'full 20']
  ])('%s', (_, lack, step) => {
    expect(text(patient.forRoom({ ...room, ...lack }))).toBe(step)
  })
})

it('a statement whose primary is in doubt waits until that is settled', () => {
  expect([patient.forReach(room), patient.forReach({ ...room, pauses: 5 }), patient.forReach({ ...room, leftMs: 119 })].map(text)).toEqual(['wait 100', 'unreachable 100', 'unreachable 100'])
})

it('where every host has connections nothing waits but for news', () => {
  const prompt = Prompt.create()
  expect([prompt.forLeader(leader), prompt.forLeader({ ...leader, missingMs: 40 }), prompt.forRoom(), prompt.forReach(), prompt.forBudget()].map(text)).toEqual(['noLeader 500', 'wait 60', 'go', 'unreachable 500', 'budget 500'])
  expect([prompt, patient].map(one => one.isCutOff({ what: 'write', isInside: true }) || one.isCutOff({ what: 'write', isInside: false }))).toEqual([false, true])
  expect([prompt.isDropped(), patient.isDropped(false), patient.isDropped(true)]).toEqual([false, false, true])
})
