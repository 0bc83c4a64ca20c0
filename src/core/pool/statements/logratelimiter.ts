/** Limits the request lines that a process writes to its log. */

import type { Instant } from '../../id/instant.ts'
import { weightOf } from '../../weight.ts'

/** A line takes about 15 microseconds, so logging stays below 0.2% of a core, and a failure of one second still leaves a hundred cases. */
const LINES_PER_SECOND = 100
/** Lines that may be written at once, from unused seconds before. */
const BURST_LINES = 300
/** One in this number of successful requests is logged. */
const SAMPLE_INTERVAL = 64

interface Grant {
  /** Whether the line may be written. */
  readonly isGranted: boolean
  /** Lines dropped since the last one that was granted. */
  readonly dropped: number
}

/** Token bucket that keeps an outage, in which every request is logged, from using up the time needed for recovery. Mutable. */
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

  /** Whether a successful request is logged. Decided by its id, so that all hosts that see a request agree. */
  isSampled (id: string): boolean {
    return weightOf(id) % SAMPLE_INTERVAL === 0
  }
}
