/** Actions that a failover monitor asks the shell to carry out. */

import type { EndpointId } from '../id/endpoint.ts'
import type { GroupId } from '../id/group.ts'
import type { Position } from '../id/position.ts'
import type { Term } from '../id/term.ts'

/**
 * - `probe`: ask the endpoint for its state over a new connection; answered by `sampled` or `missed`.
 * - `seal`: make the endpoint refuse writes of lower terms and vote for this monitor.
 * - `promote`: make the sealed endpoint accept writes in the term.
 * - `follow`: make the endpoint replicate from the primary and drop its log past the fork.
 * - `record`: write the promotion to the table service, as a record and a hint.
 */
export type FailoverAction =
  | { readonly kind: 'probe', readonly endpoint: EndpointId }
  | { readonly kind: 'seal', readonly endpoint: EndpointId, readonly term: Term }
  | { readonly kind: 'promote', readonly endpoint: EndpointId, readonly term: Term }
  | { readonly kind: 'follow', readonly endpoint: EndpointId, readonly primary: EndpointId, readonly term: Term }
  | {
    readonly kind: 'record'
    readonly group: GroupId
    readonly term: Term
    readonly primary: EndpointId
    readonly position: Position
    readonly cause: string
  }
