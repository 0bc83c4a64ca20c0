/** The product's placement of one endpoint's slots, worked out anew each time: a run has few hosts. */

import type { EndpointId } from '../../src/core/id/endpoint.ts'
import type { HostId } from '../../src/core/id/host.ts'
import { Placement } from '../../src/core/membership/placement.ts'

export function holdersOf (endpoint: EndpointId, hosts: Parameters<Placement['with']>[0], slots: number): readonly HostId[] {
  return Placement.empty.with(hosts).hosts(endpoint, slots)
}
