/** How many lines of requests a process writes. */

import type { Instant } from '../../id/instant.ts'
import { weightOf } from '../../weight.ts'

/**
 * Lines of requests in a second. A line takes about 15 microseconds to make, so
 * the budget is below 0.2% of a core, and a failure of a second still leaves a hundred cases.
 */
const LINES_PER_SECOND = 100
/** A failure's first moments may use what the seconds before left. */
const BURST_LINES = 300
/** Of requests that end well one in so many is written. */
const SAMPLE_INTERVAL = 64

interface Grant {
  /** Whether the line may be written. */
  readonly isGranted: boolean
  /** Lines that were dropped since the last one that was granted. */
  readonly dropped: number
}

/**
 * Against logs that cost more than the requests they explain: an outage makes
 * every request fail, each is a line, and writing them takes the time that the recovery needs.
 * Changes in place.
 */
export class LogRateLimiter {
  private tokens = BURST_LINES
  private dropped = 0
  private refilledAt: Instant

  private constructor (now: Instant) {
    this.refilledAt = now
  }

  static create (now: Instant): LogRateLimiter {
    return new LogRateLimiter(now)
  }

  acquire (now: Instant): Grant {
    this.tokens = Math.min(BURST_LINES, this.tokens + (now - this.refilledAt) / 1000 * LINES_PER_SECOND)
    this.refilledAt = now
    if (this.tokens < 1) {
      this.dropped++
      return { isGranted: false, dropped: 0 }
    }
    this.tokens--
    const { dropped } = this
    this.dropped = 0
    return { isGranted: true, dropped }
  }

  /** By the request's id, so that all hosts that see a request write its lines or none does. */
  isSampled (id: string): boolean {
    return weightOf(id) % SAMPLE_INTERVAL === 0
  }
}
