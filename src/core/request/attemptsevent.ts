/** Events of the attempts of a request. */

import type { EndpointId } from '../id/endpoint.ts'
import type { Outcome } from '../outcome.ts'
import type { ReasonName } from '../reasonname.ts'

/**
 * - `start`: the request arrived.
 * - `routed`: the endpoint of the next attempt.
 * - `unroutable`: no endpoint can take the request now.
 * - `rows`: a part of the attempt's result was passed on to the caller.
 * - `answered`: the attempt ended; `reason` is set for the proxy's own refusals.
 * - `resumed`: the requested wait is over.
 * - `tick`: time has passed.
 * - `left`: the caller closed its connection.
 */
export type AttemptsEvent =
  | { readonly kind: 'start' }
  | { readonly kind: 'routed', readonly endpoint: EndpointId }
  | { readonly kind: 'unroutable', readonly reason: ReasonName }
  | { readonly kind: 'rows', readonly attempt: number }
  | {
    readonly kind: 'answered'
    readonly attempt: number
    readonly outcome: Outcome
    readonly reason: ReasonName | undefined
  }
  | { readonly kind: 'resumed' }
  | { readonly kind: 'tick' }
  | { readonly kind: 'left' }
