/** Limits the retries of one process to a share of its requests. */

import type { Instant } from '../id/instant.ts'
import type { RetryBudget } from '../request/retrybudget.ts'

/** Retries per successful request. */
const RETRIES_PER_SUCCESS = 0.1
/** Maximum number of tokens: enough for the requests in progress when an endpoint fails. */
const MAX_TOKENS = 20
/** Fill rate over time, so that a process with few requests can retry as well. */
const TOKENS_PER_SECOND = 1

/**
 * A token bucket filled by successful requests, which keeps retries from overloading an endpoint that fails. In a full outage there are no
 * successes, so it costs at most `MAX_TOKENS` retries and `TOKENS_PER_SECOND`, however many requests there are.
 * Mutable: there is one per process, and every request updates it.
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

  /** Call it for each successful request. */
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
