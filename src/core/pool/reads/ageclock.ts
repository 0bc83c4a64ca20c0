/** A clock that counts the time in which the host was suspended. */

import type { Instant } from '../../id/instant.ts'

/** Maximum change of the offset between two readings: the time of day has whole milliseconds, and is slewed by at most half a millisecond per second. */
const TOLERANCE_MS = 20
/** Exceeds every age that a read may ask for. */
const JUMP_MS = 86_400_000

/**
 * The monotonic clock stands still while a host is suspended, so a position that was sampled before would still look recent. The time of day counts the
 * suspension, but may be set by an operator. So this clock jumps ahead by a day whenever the offset between the two changes, in either direction: all
 * earlier samples are then too old. Setting the time of day costs just one sample. Changes in place.
 */
export class AgeClock {
  private offsetMs: number | undefined
  private jumps = 0

  private constructor () {}

  static create (): AgeClock {
    return new AgeClock()
  }

  /** Maximum error of an age measured by this clock, in milliseconds. */
  static readonly toleranceMs = TOLERANCE_MS

  at (monotonic: number, timeOfDay: number): Instant {
    const offsetMs = timeOfDay - monotonic
    if (this.offsetMs !== undefined && Math.abs(offsetMs - this.offsetMs) > TOLERANCE_MS) this.jumps++
    this.offsetMs = offsetMs
    return monotonic + this.jumps * JUMP_MS as Instant
  }
}
