/** Estimates how long requests hold a connection. */

import type { Instant } from '../id/instant.ts'

/** Used until the first sample; typical of a short statement. */
const INITIAL_MS = 5
const MIN_MS = 0.05
const WEIGHT = 1 / 16
const CLIP_FACTOR = 4
const HALF_LIFE_MS = 1000

/**
 * An exponential moving average of service times. Each sample is clipped to between a quarter and four times the mean, so that
 * a statement that hangs for seconds moves it by a fifth, while a lasting change is followed within about thirty samples. It's
 * a mean and not a median because the mean determines how fast a queue drains. Mutable: it takes a sample of every request.
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
   * Adds a request that was cut off. Its true service time is longer than it ran, so the sample never lowers the mean: a mean
   * that is too low would start requests too close to their deadlines, which would cut off more of them and lower it further.
   */
  addCutOff (ms: number, now: Instant): void {
    this.add(Math.max(ms, this.at(now)), now)
  }

  /**
   * The estimate at `now`. Without samples a high mean is halved every second, down to the initial value. Otherwise a mean left
   * by a stall would refuse all requests of the class, and no sample could ever correct it.
   */
  at (now: Instant): number {
    const quiet = now - this.sampledAt - HALF_LIFE_MS
    return quiet <= 0 || this.mean <= INITIAL_MS ? this.mean : Math.max(INITIAL_MS, this.mean * 0.5 ** (quiet / HALF_LIFE_MS))
  }
}
