/** Retry policy for groups to which every host has its own connections: a statement that can't run now is refused now. */

import { newPrimaryWaitMs } from './newprimarywait.ts'
import type { RetryPolicy } from './retrypolicy.ts'
import type { RetryDecision } from './retrydecision.ts'

/** One for each of three endpoints, and a second one at the primary. */
const MAX_TRIES = 4
/** About one round of searching for a new primary. */
const RETRY_AFTER_MS = 500

export class FailFastRetryPolicy implements RetryPolicy {
  private constructor () {}

  static create (): FailFastRetryPolicy {
    return new FailFastRetryPolicy()
  }

  maxTries (): number {
    return MAX_TRIES
  }

  forLeader ({ leaderlessMs }: Parameters<RetryPolicy['forLeader']>[0]): RetryDecision {
    const ms = newPrimaryWaitMs(leaderlessMs)
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
