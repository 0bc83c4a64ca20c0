/** What can happen to the succession of a group. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { EndpointStatus } from '../../statement/endpointstatus.ts'

export type GroupFailoverEvent =
  | { readonly kind: 'tick' }
  /** The store gave the lease, under a fence, after so many milliseconds. */
  | { readonly kind: 'claimed', readonly fence: number, readonly tookMs: number }
  /** Another host was first, or the store didn't answer. */
  | { readonly kind: 'claimLost' }
  /** A host reaches the primary that was asked about under the fence. */
  | { readonly kind: 'objected', readonly fence: number }
  /** The store has no objection under the fence. */
  | { readonly kind: 'confirmed', readonly fence: number }
  /** What the endpoints that answered say of themselves. */
  | { readonly kind: 'surveyed', readonly statuses: ReadonlyMap<EndpointId, EndpointStatus> }
  | { readonly kind: 'ordered', readonly outcome: 'done' | 'refused' | 'notDone' | 'unknown' }
