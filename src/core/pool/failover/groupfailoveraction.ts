/** Actions that a group's failover asks its host to carry out. */

import type { EndpointId } from '../../id/endpoint.ts'

export type GroupFailoverAction =
  /** Claim the lease. `asksFor`: the primary that the other hosts are asked about; undefined to ask about none. */
  | { readonly kind: 'claim', readonly cause: 'leaving' | 'gone' | 'unreached' | 'nobody', readonly asksFor: EndpointId | undefined }
  /** Read from the store whether a host objected under the fence. */
  | { readonly kind: 'confirm', readonly fence: number }
  /** Ask the endpoints for their log positions. In a handover the old primary is asked too, before the others. */
  | { readonly kind: 'survey', readonly old: EndpointId | undefined, readonly isHandover: boolean }
  /** Ask the endpoints which of them leads, without stopping replication. */
  | { readonly kind: 'look', readonly old: EndpointId | undefined }
  /** `handoverFrom`: the old primary in a planned handover, which commits until the promotion takes effect; undefined otherwise. */
  | { readonly kind: 'promote', readonly endpoint: EndpointId, readonly fence: number, readonly handoverFrom: EndpointId | undefined }
  /** A survey or search found an endpoint that leads in the term. */
  | { readonly kind: 'found', readonly endpoint: EndpointId, readonly term: number }
  /** No promotion follows for now, since endpoints that may hold acknowledged commits haven't answered. */
  | { readonly kind: 'withhold', readonly unheard: readonly EndpointId[] }
  /** The failover ends; resume the replication that a survey may have stopped. */
  | { readonly kind: 'giveUp' }
