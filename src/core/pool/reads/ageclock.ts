/** A clock that doesn't hide the time in which the host was suspended. */

import type { Instant } from '../../id/instant.ts'

/**
 * Between two looks the time of day and the monotonic clock drift apart by less
 * than this: the time of day has whole milliseconds, and is slewed by at most
 * half a millisecond a second.
 */
const TOLERANCE_MS = 20
/** A leap past every age that anybody asks for. */
const JUMP_MS = 86_400_000

/**
 * Guard against a host that was suspended and wakes: the monotonic clock
 * stands still meanwhile, so a position that was sampled before still looks
 * young, and a read would be served from a log that lacks what was committed
 * in between. The time of day counts the suspension, but an operator may set
 * it. So the two are compared, and whenever they part, in either direction,
 * this clock leaps ahead by a day: whatever was sampled before is then too
 * old, for a suspension rightly and for a time that was set at the price of
 * one sample. Changes in place.
 */
export class AgeClock {
  private offsetMs: number | undefined
  private jumps = 0

  private constructor () {}

  static create (): AgeClock {
    return new AgeClock()
  }

  /** The error that an age told by this clock may have, in milliseconds. */
  static readonly toleranceMs = TOLERANCE_MS

  at (monotonic: number, timeOfDay: number): Instant {
    const apart = timeOfDay - monotonic
    if (this.offsetMs !== undefined && Math.abs(apart - this.offsetMs) > TOLERANCE_MS) this.jumps++
    this.offsetMs = apart
    return monotonic + this.jumps * JUMP_MS as Instant
  }
}
