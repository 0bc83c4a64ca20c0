/** Guards against an outage that floods the log, and against uncounted dropped lines. */

import { expect, it } from 'vitest'
import type { Instant } from '../../id/instant.ts'
import { LogRateLimiter } from './logratelimiter.ts'

it('grants a burst, then a constant rate, and counts the dropped lines', () => {
  const limiter = LogRateLimiter.create(0 as Instant)
  const burst = Array.from({ length: 1000 }, () => limiter.acquire(0 as Instant).isGranted).filter(Boolean).length
  expect(burst).toBe(300)
  expect(limiter.acquire(10 as Instant)).toEqual({ isGranted: true, dropped: 700 })
  const later = Array.from({ length: 1000 }, (_, i) => limiter.acquire(10 + i as Instant).isGranted).filter(Boolean).length
  expect(later).toBeGreaterThanOrEqual(99)
  expect(later).toBeLessThanOrEqual(101)
})

it('samples by the id only', () => {
  const limiters = [LogRateLimiter.create(0 as Instant), LogRateLimiter.create(5 as Instant)]
  const ids = Array.from({ length: 6400 }, (_, i) => `id-${i}`)
  const [one, other] = limiters.map(limiter => ids.filter(id => limiter.isSampled(id)))
  expect(one).toEqual(other)
  expect(one!.length).toBeGreaterThan(50)
  expect(one!.length).toBeLessThan(200)
})
