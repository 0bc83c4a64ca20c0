/** A retry budget without a limit. */

import type { RetryBudget } from './retrybudget.ts'

export const alwaysRetry: RetryBudget = { tryTakeRetry: () => true }
