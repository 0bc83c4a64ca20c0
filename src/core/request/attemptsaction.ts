/** What the attempts of a request ask of the shell. */

import type { EndpointId } from '../id/endpoint.ts'
import type { ReasonName } from '../reasonname.ts'

/**
 * - `route`: find an endpoint; `avoid` lists those that could not be reached just now.
 * - `send`: run the request there. Its events carry the attempt's number.
 * - `wait`: until the groups change, `ms` at the longest; then `resumed`.
 * - `cancel`: give the attempt up; its connection must not be used again.
 * - `answer`: pass the last attempt's answer on. The request is over.
 * - `refuse`: tell the caller the proxy's own reason. The request is over.
 */
export type AttemptsAction =
  | { readonly kind: 'route', readonly ms: number, readonly avoid: readonly EndpointId[] }
  | { readonly kind: 'send', readonly attempt: number, readonly endpoint: EndpointId, readonly ms: number }
  | { readonly kind: 'wait', readonly ms: number }
  | { readonly kind: 'cancel', readonly attempt: number }
  | { readonly kind: 'answer', readonly retryAfterMs: number }
  | { readonly kind: 'refuse', readonly reason: ReasonName, readonly retryAfterMs: number }
