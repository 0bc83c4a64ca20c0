/** What becomes of a statement that lacks something now. */

import type { Cause } from './cause.ts'

export type RetryDecision =
  /** It goes on at once. */
  | { readonly kind: 'go' }
  /** It's looked at again after so many milliseconds, or as soon as what it lacks is there. `isAnew`: endpoints that refused it are asked again then. */
  | { readonly kind: 'wait', readonly ms: number, readonly areRefusalsReset: boolean }
  /** `retryAfterMs`: when a new try may do better. */
  | { readonly kind: 'refuse', readonly cause: Cause, readonly retryAfterMs: number }
