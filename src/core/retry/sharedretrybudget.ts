/** The retries of one process, held to a share of its requests. */

import type { Instant } from '../id/instant.ts'
import type { RetryBudget } from '../request/retrybudget.ts'

/** Retries per request that succeeded. */
const RETRIES_PER_SUCCESS = 0.1
/** Tokens that may gather: enough for the few requests that are under way when an endpoint fails. */
const MAX_TOKENS = 20
/** Tokens that come with time alone, so that a process with hardly a request can retry as well. */
const TOKENS_PER_SECOND = 1

/**
 * A token bucket filled by successes. Against the collapse that retries cause: an
 * endpoint fails, each request is tried three times, and three times the load
 * keeps it from coming back. With nothing succeeding nothing is filled in, so an outage costs
 * `MOST` retries and one a second, however many requests there are.
 * Changes in place: there is one for the process, and each request touches it.
 */
export class SharedRetryBudget implements RetryBudget {
  private tokens = MAX_TOKENS
  private filledAt: Instant

  private constructor (now: Instant) {
    this.filledAt = now
  }

  static create (now: Instant): SharedRetryBudget {
    return new SharedRetryBudget(now)
  }

  /** A request ended well. */
  recordSuccess (): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + RETRIES_PER_SUCCESS)
  }

  tryTakeRetry (now: Instant): boolean {
    const seconds = Math.max(0, now - this.filledAt) / 1000
    this.tokens = Math.min(MAX_TOKENS, this.tokens + seconds * TOKENS_PER_SECOND)
    this.filledAt = now
    if (this.tokens < 1) return false
    this.tokens--
    return true
  }
}
