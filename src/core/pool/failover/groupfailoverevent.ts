/** Events that drive a group's failover. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { EndpointStatus } from '../../statement/endpointstatus.ts'

export type GroupFailoverEvent =
  | { readonly kind: 'tick' }
  /** This host got the lease with the fence; the store took `tookMs` to answer. */
  | { readonly kind: 'claimed', readonly fence: number, readonly tookMs: number }
  /** Another host holds the lease, or the store didn't answer. */
  | { readonly kind: 'claimLost' }
  /** Another host reaches the primary that it was asked about under the fence. */
  | { readonly kind: 'objected', readonly fence: number }
  /** The store holds no objection under the fence. */
  | { readonly kind: 'confirmed', readonly fence: number }
  /** Statuses of the endpoints that answered a survey or a search. */
  | { readonly kind: 'surveyed', readonly statuses: ReadonlyMap<EndpointId, EndpointStatus> }
  /** Statuses of the old primary and its successor, as far as they answered; undefined if the handover couldn't be announced. */
  | { readonly kind: 'compared', readonly statuses: ReadonlyMap<EndpointId, EndpointStatus> | undefined }
  /** The platform's answer to a promotion; `notDone`: rejected without effect, so it may be ordered again. */
  | { readonly kind: 'ordered', readonly outcome: 'done' | 'refused' | 'notDone' | 'unknown' }
