/** Guards against taking a table for newer than it is. */

import { expect, it } from 'vitest'
import type { Instant } from '../../id/instant.ts'
import { Staleness } from './staleness.ts'

const at = (ms: number): Instant => ms as Instant
/** The store's clock showed 1,000 when it answered a query that was sent at 50. */
const SAMPLED = Staleness.none.withClockSample(at(50), 1000)

it.each<[string, Staleness, number, number]>([
  ['without any sample', Staleness.none, 100, Infinity],
  ['with a clock sample only', SAMPLED, 100, Infinity],
  ['without a clock sample', Staleness.none.withAsOf({ config: 1000 }), 100, Infinity],
  ['counts from when the query was sent', SAMPLED.withAsOf({ config: 1000 }), 60, 10],
  ['a message that was delayed by a second', SAMPLED.withAsOf({ config: 1000 }), 1060, 1010],
  ['a newer message', SAMPLED.withAsOf({ config: 1500 }), 560, 10],
  ['an older message changes nothing', SAMPLED.withAsOf({ config: 1500 }).withAsOf({ config: 1200 }), 560, 10],
  ['another table', SAMPLED.withAsOf({ shared: 1500 }), 560, Infinity],
  ['a slow query does not loosen the estimate of the store\'s clock', SAMPLED.withClockSample(at(100), 1400).withAsOf({ config: 1400 }), 460, 10],
  ['a quick query tightens it', SAMPLED.withClockSample(at(460), 1400).withAsOf({ config: 1400 }), 460, 0],
  ['after a suspension of a day the age is too high', SAMPLED.withAsOf({ config: 1000 }), 86_400_060, 86_400_010],
  ['and correct again after the next answer', SAMPLED.withClockSample(at(86_400_100), 6000).withAsOf({ config: 6000 }), 86_400_110, 10]
])('%s', (_name, staleness, now, expected) => expect(staleness.ageMs('config', at(now))).toBe(expected))

it('never estimates the store\'s clock too low', () => {
  // The store's clock is ahead of this host's by at most 950.
  expect(SAMPLED.storeMs(at(60))).toBe(1010)
  expect(Staleness.none.storeMs(at(60))).toBeUndefined()
})
