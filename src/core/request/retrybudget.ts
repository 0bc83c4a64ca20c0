/** Whether a request may be tried once more, seen over all requests of a process. */

import type { Instant } from '../id/instant.ts'

export interface RetryBudget {
  /** Takes one retry out of the budget; false when none is left. Asked only when a retry would follow. */
  tryTakeRetry (now: Instant): boolean
}
