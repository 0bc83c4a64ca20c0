/** Guards against retries that multiply the load in an outage. */

import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import { alwaysRetry } from '../request/alwaysretry.ts'
import { Attempts } from '../request/attempts.ts'
import type { AttemptsEvent } from '../request/attemptsevent.ts'
import type { RetryBudget } from '../request/retrybudget.ts'
import type { RequestSpec } from '../request/requestspec.ts'
import { SharedRetryBudget } from './sharedretrybudget.ts'

const DEADLINE_MS = 1000
const endpoint = 'shop-1' as EndpointId

/** Runs one read to its end against an endpoint that never answers, and returns how often it was sent. */
function sends (budget: RetryBudget, began: number): number {
  const spec: RequestSpec = {
    isRead: true, hasIdempotencyKey: false, place: 'alone', mayCommitImplicitly: false, waitsForPrimary: false, deadline: began + DEADLINE_MS as Instant
  }
  let attempts = Attempts.create(spec, budget)
  let sent = 0
  const queue: AttemptsEvent[] = [{ kind: 'start' }]
  for (let now = began; queue.length > 0;) {
    const step = attempts.step(queue.shift()!, now as Instant)
    attempts = step.attempts
    for (const action of step.actions) {
      if (action.kind === 'route') queue.push({ kind: 'routed', endpoint })
      if (action.kind === 'send') {
        sent++
        queue.push({ kind: 'answered', attempt: action.attempt, outcome: 'unknown', reason: 'lost' })
      }
      if (action.kind === 'wait') {
        now += action.ms
        queue.push({ kind: 'resumed' })
      }
    }
  }
  return sent
}

/* A limit per request wouldn't bound the sum of retries: an endpoint that restarts under many times its load fails again. */
describe('in a full outage of an endpoint', () => {
  it.each([100, 1000, 10_000])('%i requests in ten seconds are sent at most 1.2 times each if there are at least 1000', requests => {
    const budget = SharedRetryBudget.create(0 as Instant)
    let sent = 0
    for (let i = 0; i < requests; i++) sent += sends(budget, i * 10_000 / requests)
    expect(sent - requests).toBeLessThanOrEqual(31)
    if (requests >= 1000) expect(sent / requests).toBeLessThanOrEqual(1.2)
  })

  it('each is sent more than forty times without a budget', () => {
    expect(sends(alwaysRetry, 0)).toBeGreaterThan(40)
  })
})

/* Urgent writes wait for a promotion. If the waits counted against the budget, they would be refused before the promotion starts. */
it.each<[string, boolean, AttemptsEvent[], string]>([
  ['an urgent write waits for the end of a failover', true, [{ kind: 'routed', endpoint }, { kind: 'answered', attempt: 1, outcome: 'notRun', reason: 'unreachable' }], 'wait'],
  ['an urgent write waits for a promotion', true, [{ kind: 'unroutable', reason: 'noPrimary' }], 'wait'],
  ['any other request ends', false, [{ kind: 'routed', endpoint }, { kind: 'answered', attempt: 1, outcome: 'notRun', reason: 'unreachable' }], 'answer']
])('with an empty budget %s', (_, waitsForPrimary, events, expected) => {
  const spec: RequestSpec = { isRead: false, hasIdempotencyKey: false, place: 'alone', mayCommitImplicitly: false, waitsForPrimary, deadline: DEADLINE_MS as Instant }
  const budget = SharedRetryBudget.create(0 as Instant)
  while (budget.tryTakeRetry(0 as Instant));
  let step = Attempts.create(spec, budget).step({ kind: 'start' }, 0 as Instant)
  for (const event of events) step = step.attempts.step(event, 0 as Instant)
  expect(step.actions.map(action => action.kind)).toEqual([expected])
})

it('allows a retry for one request in twenty', () => {
  const budget = SharedRetryBudget.create(0 as Instant)
  let refused = 0
  for (let i = 0; i < 10_000; i++) {
    if (i % 20 === 0 && !budget.tryTakeRetry(0 as Instant)) refused++
    budget.recordSuccess()
  }
  expect(refused).toBe(0)
})

it('never allows more than its initial tokens, its share and one per second, in any order', () => {
  const events = fc.array(fc.record({ isRetry: fc.boolean(), wait: fc.nat(20) }), { maxLength: 2000 })
  fc.assert(fc.property(events, all => {
    const budget = SharedRetryBudget.create(0 as Instant)
    let [now, given, succeeded] = [0, 0, 0]
    for (const one of all) {
      now += one.wait
      if (!one.isRetry) {
        succeeded++
        budget.recordSuccess()
      } else if (budget.tryTakeRetry(now as Instant)) given++
      expect(given).toBeLessThanOrEqual(20 + 0.1 * succeeded + now / 1000 + 1e-6)
    }
  }), { seed: 7, numRuns: 100 })
})
