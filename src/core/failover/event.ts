/** What a failover monitor hears. */

import type { Sample } from '../group/sample.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { Term } from '../id/term.ts'

/**
 * - `sampled`: a probe of an endpoint was answered.
 * - `missed`: a probe of an endpoint failed, over the open connection and over a new one.
 * - `sealed`: the endpoint accepted the seal; its sample was taken after it.
 * - `refused`: the endpoint refused a verb because it knows a higher term, or another proposer's seal of this one.
 * - `failed`: a verb got no answer; it may have taken effect.
 * - `promoted`: the endpoint is primary in the term.
 * - `leaving`: the host list says that the endpoint's host is leaving.
 * - `tick`: nothing but time.
 */
export type FailoverEvent =
  | { readonly kind: 'sampled', readonly sample: Sample }
  | { readonly kind: 'missed', readonly endpoint: EndpointId }
  | { readonly kind: 'sealed', readonly term: Term, readonly sample: Sample }
  | { readonly kind: 'refused', readonly endpoint: EndpointId, readonly term: Term }
  | { readonly kind: 'failed', readonly endpoint: EndpointId, readonly term: Term }
  | { readonly kind: 'promoted', readonly endpoint: EndpointId, readonly term: Term }
  | { readonly kind: 'leaving', readonly endpoint: EndpointId }
  | { readonly kind: 'tick' }
