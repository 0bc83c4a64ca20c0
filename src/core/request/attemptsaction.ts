/** Actions that the attempts of a request ask of the shell. */

import type { EndpointId } from '../id/endpoint.ts'
import type { ReasonName } from '../reasonname.ts'

/**
 * - `route`: find an endpoint; `avoid` lists those that could not be reached just now.
 * - `send`: run the request there. Its events carry the attempt's number.
 * - `wait`: wait until the groups change, `ms` milliseconds at most; then `resumed`.
 * - `cancel`: cancel the attempt; its connection must not be reused.
 * - `answer`: pass on the last attempt's answer, which ends the request.
 * - `refuse`: refuse with the proxy's own reason, which ends the request.
 */
export type AttemptsAction =
  | { readonly kind: 'route', readonly ms: number, readonly avoid: readonly EndpointId[] }
  | { readonly kind: 'send', readonly attempt: number, readonly endpoint: EndpointId, readonly ms: number }
  | { readonly kind: 'wait', readonly ms: number }
  | { readonly kind: 'cancel', readonly attempt: number }
  | { readonly kind: 'answer', readonly retryAfterMs: number }
  | { readonly kind: 'refuse', readonly reason: ReasonName, readonly retryAfterMs: number }
