/** How long requests hold a connection, measured. */

import type { Instant } from '../id/instant.ts'

/** Taken until the first sample: a guess for a short statement. */
const INITIAL_MS = 5
const MIN_MS = 0.05
const WEIGHT = 1 / 16
const CLIP_FACTOR = 4
const HALF_LIFE_MS = 1000

/**
 * A moving mean whose samples are clipped to a quarter and four times of it: one
 * statement that hangs for seconds moves it by a fifth, a lasting change is
 * followed within some thirty samples. A mean and not a median, since it's the
 * mean that says how soon a queue drains. Changes in place: it takes a sample of every request.
 */
export class ServiceTime {
  private mean = INITIAL_MS
  private sampledAt = 0 as Instant

  private constructor () {}

  static create (): ServiceTime {
    return new ServiceTime()
  }

  add (ms: number, now: Instant): void {
    const mean = this.at(now)
    const clipped = Math.min(mean * CLIP_FACTOR, Math.max(mean / CLIP_FACTOR, ms))
    this.mean = Math.max(MIN_MS, mean + (clipped - mean) * WEIGHT)
    this.sampledAt = now
  }

  /**
   * Takes a request that was cut off. Its true time is longer than it ran, so it
   * never lowers the mean. Taken as an ordinary sample it would: cut-offs lower the
   * mean, with a low mean requests start too shortly before their deadline, and
   * so more are cut off, until nothing is ever done in time, even at a load
   * that the endpoint carries.
   */
  addCutOff (ms: number, now: Instant): void {
    this.add(Math.max(ms, this.at(now)), now)
  }

  /**
   * Against a stall that leaves a high mean behind: everything would be refused
   * for it, no sample would come and correct it, and the class would stay shut.
   * So a mean without samples is halved each second, down to the first guess.
   */
  at (now: Instant): number {
    const quiet = now - this.sampledAt - HALF_LIFE_MS
    return quiet <= 0 || this.mean <= INITIAL_MS ? this.mean : Math.max(INITIAL_MS, this.mean * 0.5 ** (quiet / HALF_LIFE_MS))
  }
}
