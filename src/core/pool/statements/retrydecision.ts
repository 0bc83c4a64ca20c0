/** What happens to a statement that can't run now. */

import type { Cause } from './cause.ts'

export type RetryDecision =
  /** It continues at once. */
  | { readonly kind: 'go' }
  /** It is checked again after `ms` milliseconds, or earlier when what it waits for is there. `areRefusalsReset`: endpoints that refused it may then be tried again. */
  | { readonly kind: 'wait', readonly ms: number, readonly areRefusalsReset: boolean }
  /** `retryAfterMs`: when the caller may try again. */
  | { readonly kind: 'refuse', readonly cause: Cause, readonly retryAfterMs: number }
