/** Where every host has connections of its own: what can't be served now is refused now. */

import { newPrimaryWaitMs } from './newprimarywait.ts'
import type { RetryPolicy } from './retrypolicy.ts'
import type { RetryDecision } from './retrydecision.ts'

/** Each of three endpoints, and the primary once more. */
const MAX_TRIES = 4
/** The time to come back while nobody leads: about a round of finding the new primary. */
const RETRY_AFTER_MS = 500

export class FailFastRetryPolicy implements RetryPolicy {
  private constructor () {}

  static create (): FailFastRetryPolicy {
    return new FailFastRetryPolicy()
  }

  maxTries (): number {
    return MAX_TRIES
  }

  forLeader ({ leaderlessMs: missingMs }: Parameters<RetryPolicy['forLeader']>[0]): RetryDecision {
    const ms = newPrimaryWaitMs(missingMs)
    return ms > 0 ? { kind: 'wait', ms, areRefusalsReset: false } : { kind: 'refuse', cause: 'noLeader', retryAfterMs: RETRY_AFTER_MS }
  }

  forRoom (): RetryDecision {
    return { kind: 'go' }
  }

  forReach (): RetryDecision {
    return { kind: 'refuse', cause: 'unreachable', retryAfterMs: RETRY_AFTER_MS }
  }

  forBudget (): RetryDecision {
    return { kind: 'refuse', cause: 'budget', retryAfterMs: RETRY_AFTER_MS }
  }

  isRetriedElsewhere ({ what }: Parameters<RetryPolicy['isRetriedElsewhere']>[0]): boolean {
    return what === 'read'
  }

  isAbandoned (): boolean {
    return false
  }
}
