/** The placement of one endpoint's slots, worked out once; who asks again and again keeps a `Placement`. */

import type { EndpointId } from '../id/endpoint.ts'
import type { HostId } from '../id/host.ts'
import { Placement } from './placement.ts'

/** The hosts of an endpoint's slots, best first and at most `slots` of them. */
export function placeSlots (endpoint: EndpointId, hosts: Parameters<Placement['with']>[0], slots: number): readonly HostId[] {
  return Placement.empty.with(hosts).hosts(endpoint, slots)
}
