/** Events of a failover monitor, from its probes, other processes and the clock. */

import type { Sample } from '../group/sample.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { Term } from '../id/term.ts'

/**
 * - `sampled`: a probe of this process was answered.
 * - `learnt`: another process reported what it knows of an endpoint.
 * - `missed`: a probe of an endpoint failed, over the open connection and over a new one.
 * - `sealed`: the endpoint accepted the seal; its sample was taken afterwards.
 * - `refused`: the endpoint refused an order because it knows a higher term, or another monitor's seal of this one.
 * - `failed`: an order got no answer; it may have taken effect.
 * - `promoted`: the endpoint is primary in the term; its sample was taken at the promotion.
 * - `leaving`: the endpoint is to be taken out of service; if it's the primary, by a planned handover.
 * - `staying`: the endpoint is no longer leaving.
 * - `tick`: time has passed.
 */
export type FailoverEvent =
  | { readonly kind: 'sampled', readonly sample: Sample }
  | { readonly kind: 'learnt', readonly sample: Sample }
  | { readonly kind: 'missed', readonly endpoint: EndpointId }
  | { readonly kind: 'sealed', readonly term: Term, readonly sample: Sample }
  | { readonly kind: 'refused', readonly endpoint: EndpointId, readonly term: Term }
  | { readonly kind: 'failed', readonly endpoint: EndpointId, readonly term: Term }
  | { readonly kind: 'promoted', readonly term: Term, readonly sample: Sample }
  | { readonly kind: 'leaving', readonly endpoint: EndpointId }
  | { readonly kind: 'staying', readonly endpoint: EndpointId }
  | { readonly kind: 'tick' }
