/** What a failover monitor is told, by its probes, by other processes and by the clock. */

import type { Sample } from '../group/sample.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { Term } from '../id/term.ts'

/**
 * - `sampled`: a probe of this process was answered.
 * - `learnt`: another process says what it knows of an endpoint.
 * - `missed`: a probe of an endpoint failed, over the open connection and over a new one.
 * - `sealed`: the endpoint accepted the seal; its sample was taken after it.
 * - `refused`: the endpoint refused a verb because it knows a higher term, or another proposer's seal of this one.
 * - `failed`: a verb got no answer; it may have taken effect.
 * - `promoted`: the endpoint is primary in the term; its sample was taken with it.
 * - `leaving`: the endpoint is to be left; if it's the primary, by a planned hand-over.
 * - `staying`: the endpoint isn't leaving any more.
 * - `tick`: nothing but time.
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
