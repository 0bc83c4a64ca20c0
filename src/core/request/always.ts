/** The budget that refuses no retry. */

import type { RetryBudget } from './budget.ts'

export const alwaysRetry: RetryBudget = { mayRetry: () => true }
