/** Orders to the platform to promote an endpoint to primary of its group. */

import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { GroupId } from '../../../core/id/group.ts'
import type { HostId } from '../../../core/id/host.ts'

interface Order {
  readonly group: GroupId
  readonly endpoint: EndpointId
  readonly holder: HostId
  /** Fencing token, which grows with each decision; the platform refuses lower ones than it has seen. */
  readonly fence: number
}

/**
 * - `refused`: a higher fence was seen, or the endpoint isn't running.
 * - `notDone`: the platform did nothing; the order may be repeated.
 * - `unknown`: no answer; the order may still be carried out, unless a higher fence comes first.
 */
type Outcome = 'done' | 'refused' | 'notDone' | 'unknown'

export interface PromotionOrders {
  /** Never rejects. */
  promote (order: Order, signal: AbortSignal): Promise<Outcome>
}
