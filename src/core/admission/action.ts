/** Actions that the admission of a slot asks its owner to carry out. */

export type AdmissionAction =
  /** Open one connection and report `opened`, `openFailed` or `openRefused`. */
  | { readonly kind: 'open' }
  /** Give the request any idle connection; there is one. */
  | { readonly kind: 'start', readonly id: number }
  /** Refuse the request, which was not run. `retryAfterMs`: when its caller should try again. */
  | { readonly kind: 'refuse', readonly id: number, readonly reason: 'busy' | 'unreachable', readonly retryAfterMs: number }
