/** What admission orders its slot to do. */

export type AdmissionAction =
  /** Open one connection; `opened` or `openFailed` must follow. */
  | { readonly kind: 'open' }
  /** Lend any idle connection to the request; there is one. */
  | { readonly kind: 'start', readonly id: number }
  /** The request's final answer: it was not run. */
  | { readonly kind: 'refuse', readonly id: number, readonly reason: 'busy' | 'unreachable', readonly retryAfterMs: number }
