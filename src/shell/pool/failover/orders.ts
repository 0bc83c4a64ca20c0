/** Orders to the platform to make an endpoint the primary of its group. */

import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { GroupId } from '../../../core/id/group.ts'
import type { HostId } from '../../../core/id/host.ts'

interface Order {
  readonly group: GroupId
  readonly endpoint: EndpointId
  readonly holder: HostId
  /** Grows with each choice; a lower one than the platform has seen is refused. */
  readonly fence: number
}

/**
 * - `refused`: a higher fence was seen, or the endpoint doesn't run.
 * - `notDone`: the platform says that it did nothing; the order may be given again.
 * - `unknown`: no answer; it may be carried out later, unless a higher fence comes first.
 */
type Outcome = 'done' | 'refused' | 'notDone' | 'unknown'

export interface PromotionOrders {
  /** Resolves always. */
  promote (order: Order, signal: AbortSignal): Promise<Outcome>
}
