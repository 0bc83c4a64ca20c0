/** The interface of a budget for retries, shared by all requests of a process. */

import type { Instant } from '../id/instant.ts'

export interface RetryBudget {
  /** Takes one retry out of the budget; false if none is left. Call it only when a retry would follow. */
  tryTakeRetry (now: Instant): boolean
}
