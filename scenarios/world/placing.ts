/** The product's placement of slots, as the runner's proxies ask for it. */

import type { EndpointId } from '../../src/core/id/endpoint.ts'
import type { HostId } from '../../src/core/id/host.ts'
import { placeSlots } from '../../src/core/membership/placeslots.ts'

export function holdersOf (endpoint: EndpointId, hosts: Parameters<typeof placeSlots>[1], slots: number): readonly HostId[] {
  return placeSlots(endpoint, hosts, slots)
}
