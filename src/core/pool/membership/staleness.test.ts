/** How old what a host knows may be, by the store's clock. */

import { expect, it } from 'vitest'
import type { Instant } from '../../id/instant.ts'
import { Staleness } from './staleness.ts'

const at = (ms: number): Instant => ms as Instant
/** The store's clock showed 1,000 when a question that was sent at 50 was answered. */
const SAMPLED = Staleness.none.withClockSample(at(50), 1000)

it.each<[string, Staleness, number, number]>([
  ['nothing is known', Staleness.none, 100, Infinity],
  ['the store\'s clock alone is known', SAMPLED, 100, Infinity],
  ['without the store\'s clock', Staleness.none.withAsOf({ config: 1000 }), 100, Infinity],
  ['from when the question was sent', SAMPLED.withAsOf({ config: 1000 }), 60, 10],
  ['a word that was held up for a second', SAMPLED.withAsOf({ config: 1000 }), 1060, 1010],
  ['a younger word', SAMPLED.withAsOf({ config: 1500 }), 560, 10],
  ['an older word changes nothing', SAMPLED.withAsOf({ config: 1500 }).withAsOf({ config: 1200 }), 560, 10],
  ['another table', SAMPLED.withAsOf({ shared: 1500 }), 560, Infinity],
  ['a slow question tells less of the store\'s clock, and nothing is taken back', SAMPLED.withClockSample(at(100), 1400).withAsOf({ config: 1400 }), 460, 10],
  ['a quick question tells more', SAMPLED.withClockSample(at(460), 1400).withAsOf({ config: 1400 }), 460, 0],
  ['after a suspension, which the clock counts as a day, all is too old', SAMPLED.withAsOf({ config: 1000 }), 86_400_060, 86_400_010],
  ['and young again with the next answer', SAMPLED.withClockSample(at(86_400_100), 6000).withAsOf({ config: 6000 }), 86_400_110, 10]
])('%s', (_name, soundness, now, expected) => expect(soundness.ageMs('config', at(now))).toBe(expected))

it('what is told as the store\'s clock is never earlier than it is', () => {
  // The store's clock shows 950 more than this host's at most: a host that takes it for the time at which it asked errs to the old side.
  expect(SAMPLED.storeMs(at(60))).toBe(1010)
  expect(Staleness.none.storeMs(at(60))).toBeUndefined()
})
