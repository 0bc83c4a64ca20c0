/** Ages must count the time in which the host was suspended, whatever happens to its wall clock. */

import { describe, expect, it } from 'vitest'
import { AgeClock } from './ageclock.ts'

/** The age, at the last pair of monotonic time and time of day, of what was sampled at the first. */
function ageAfter (...readings: Array<readonly [monotonic: number, timeOfDay: number]>): number {
  const clock = AgeClock.create()
  const instants = readings.map(([monotonic, timeOfDay]) => clock.at(monotonic, timeOfDay))
  return instants.at(-1)! - instants[0]!
}

describe('the age of a sample', () => {
  // A host that samples the primary, is suspended, and wakes must not serve a read from the old sample: others have committed since, and the monotonic clock
  // didn't advance.
  it.each<[string, Array<readonly [number, number]>, boolean]>([
    ['nothing happens', [[0, 1000], [500, 1500]], true],
    ['the time of day has whole milliseconds', [[0, 1000], [500.9, 1500]], true],
    ['suspended for 5 s', [[0, 1000], [500, 6500]], false],
    ['suspended for 5 s, read twice', [[0, 1000], [500, 6500], [510, 6510]], false],
    ['the time of day is set back', [[0, 10_000], [500, 8000]], false],
    ['set back by 2 s while suspended for 5 s', [[0, 10_000], [500, 13_500]], false],
    ['slewed for a minute, read each second', Array.from({ length: 60 }, (_, i) => [i * 10, 1000 + i * 10.005] as const), true]
  ])('%s', (_, readings, isYoung) => {
    expect(ageAfter(...readings) <= 1500).toBe(isYoung)
  })
})
