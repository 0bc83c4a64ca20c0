/** The budget that refuses no retry. */

import type { RetryBudget } from './retrybudget.ts'

export const alwaysRetry: RetryBudget = { tryTakeRetry: () => true }
