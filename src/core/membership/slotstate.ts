/** The state of an endpoint's slots for one host, from its assignments and from what other hosts reported. */

import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { SlotAssignments } from './slotassignments.ts'
import type { Members } from './members.ts'
import type { decideOwnership } from './ownership.ts'

/** Returns undefined for an endpoint that isn't configured. */
export function slotStateOf (endpoint: EndpointId, assignments: SlotAssignments, members: Members, isHeld: boolean, now: Instant): Parameters<typeof decideOwnership>[0] | undefined {
  const group = assignments.group(endpoint)
  if (group === undefined) return undefined
  const assigned = assignments.assignedHosts(endpoint)
  return {
    slots: group.slotsPerEndpoint,
    isHeld,
    isAssigned: assignments.rank(endpoint) !== undefined,
    otherHolders: members.holders(endpoint, now).length,
    unknownHolders: assignments.possibleHolders(endpoint).filter(id => members.hasUnreportedSlots(id, now)).length,
    hasSuccessor: assigned.length > 0 && assigned.every(id => members.isLinked(id))
  }
}
