/**
 * The hosts that a process links to: those that may hold slots of groups which
 * it uses, for its callers or because its own slots need the samples of the
 * group's other endpoints; and those whose slots it would take over.
 */

import type { Config } from '../config/config.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { HostId } from '../id/host.ts'
import type { SlotAssignments } from './slotassignments.ts'

interface PeerUsage {
  readonly assignments: SlotAssignments
  /** Endpoints of which it holds a slot. */
  readonly held: readonly EndpointId[]
  /** Groups that its callers use. */
  readonly groups: ReadonlyArray<Config['groups'][number]>
  /** Hosts that reported a slot of the endpoint. */
  readonly holders: (endpoint: EndpointId) => readonly HostId[]
}

export function requiredPeers ({ assignments: duties, held, groups, holders }: PeerUsage): Set<HostId> {
  const used = new Set(groups)
  for (const endpoint of [...held, ...duties.endpoints]) {
    const group = duties.group(endpoint)
    if (group !== undefined) used.add(group)
  }
  const endpoints = [...used].flatMap(group => group.endpoints.map(endpoint => endpoint.id))
  const peers = new Set<HostId>()
  for (const endpoint of new Set([...endpoints, ...duties.monitoredEndpoints])) {
    for (const host of [...duties.possibleHolders(endpoint), ...holders(endpoint)]) peers.add(host)
  }
  return peers
}
