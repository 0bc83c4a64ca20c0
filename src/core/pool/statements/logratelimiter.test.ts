/** How many lines are written, and what is said of the others. */

import { expect, it } from 'vitest'
import type { Instant } from '../../id/instant.ts'
import { LogRateLimiter } from './logratelimiter.ts'

it('writes a burst, then so many a second, and counts what it drops', () => {
  const budget = LogRateLimiter.create(0 as Instant)
  const burst = Array.from({ length: 1000 }, () => budget.acquire(0 as Instant).isGranted).filter(Boolean).length
  expect(burst).toBe(300)
  expect(budget.acquire(10 as Instant)).toEqual({ isGranted: true, dropped: 700 })
  const later = Array.from({ length: 1000 }, (_, i) => budget.acquire(10 + i as Instant).isGranted).filter(Boolean).length
  expect(later).toBeGreaterThanOrEqual(99)
  expect(later).toBeLessThanOrEqual(101)
})

it('samples by the id alone', () => {
  const budgets = [LogRateLimiter.create(0 as Instant), LogRateLimiter.create(5 as Instant)]
  const ids = Array.from({ length: 6400 }, (_, i) => `id-${i}`)
  const [one, other] = budgets.map(budget => ids.filter(id => budget.isSampled(id)))
  expect(one).toEqual(other)
  expect(one!.length).toBeGreaterThan(50)
  expect(one!.length).toBeLessThan(200)
})
