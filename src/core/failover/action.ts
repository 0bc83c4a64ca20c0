/** What a failover monitor asks of the shell. */

import type { EndpointId } from '../id/endpoint.ts'
import type { GroupId } from '../id/group.ts'
import type { Position } from '../id/position.ts'
import type { Term } from '../id/term.ts'

/**
 * - `probe`: the endpoint is to be asked for its state over a new connection; `sampled` or `missed` answers.
 * - `seal`: the endpoint is to refuse writes of lower terms and to vote for this proposer.
 * - `promote`: the sealed endpoint is to accept writes in the term.
 * - `follow`: the endpoint is to replicate from the primary, dropping its log past the fork.
 * - `record`: the promotion is to be written to the table service, as a record and a hint.
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
