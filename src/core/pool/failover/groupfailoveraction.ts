/** Actions that a group's failover asks its host to carry out. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { FailoverCause } from './failovercause.ts'
import type { Handover } from './handover.ts'

export type GroupFailoverAction =
  /** Claim the lease. `asksFor`: the primary that the other hosts are asked about; undefined to ask about none. */
  | { readonly kind: 'claim', readonly cause: FailoverCause, readonly asksFor: EndpointId | undefined }
  /** Read from the store whether a host objected under the fence. */
  | { readonly kind: 'confirm', readonly fence: number }
  /** Ask the endpoints for their log positions. In a handover the old primary is asked too, before the others. */
  | { readonly kind: 'survey', readonly old: EndpointId | undefined, readonly isHandover: boolean }
  /** Stop these replicas from receiving, which have started or were listed after the survey. */
  | { readonly kind: 'stop', readonly endpoints: readonly EndpointId[] }
  /** Ask the endpoints which of them leads, without stopping replication. */
  | { readonly kind: 'look', readonly old: EndpointId | undefined }
  /**
   * Announce that commits of the old primary wait for its successor, have the successor receive again, and report both logs, that of the
   * old primary asked for after the announcement.
   */
  | { readonly kind: 'handOver', readonly handover: Handover }
  /** Report both logs again. */
  | { readonly kind: 'compare', readonly old: EndpointId, readonly successor: EndpointId }
  /** Order the promotion. `handover`: to be announced before; undefined if it was or none is needed. `isPlanned`: the old primary commits until the promotion takes effect. */
  | { readonly kind: 'promote', readonly endpoint: EndpointId, readonly fence: number, readonly handover: Handover | undefined, readonly isPlanned: boolean }
  /** A survey or search found an endpoint that leads in the term. */
  | { readonly kind: 'found', readonly endpoint: EndpointId, readonly term: number }
  /** No promotion follows for now, since endpoints that may hold acknowledged commits haven't answered. */
  | { readonly kind: 'withhold', readonly unheard: readonly EndpointId[] }
  /** The failover ends; resume the replication that a survey may have stopped. `hasOpenOrder`: an order may still be carried out, so its announcement stays. */
  | { readonly kind: 'giveUp', readonly hasOpenOrder: boolean }
