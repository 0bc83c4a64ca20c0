/** How one host stands to the slots of an endpoint, from its duties and from what the others say they hold. */

import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { SlotAssignments } from './slotassignments.ts'
import type { Members } from './members.ts'
import type { decideOwnership } from './ownership.ts'

/** Undefined for an endpoint that isn't configured. */
export function slotStateOf (endpoint: EndpointId, duties: SlotAssignments, members: Members, isHeld: boolean, now: Instant): Parameters<typeof decideOwnership>[0] | undefined {
  const group = duties.group(endpoint)
  if (group === undefined) return undefined
  const due = duties.assignedHosts(endpoint)
  return {
    slots: group.slotsPerEndpoint,
    isHeld,
    isAssigned: duties.rank(endpoint) !== undefined,
    otherHolders: members.holders(endpoint, now).length,
    unknownHolders: duties.possibleHolders(endpoint).filter(id => members.hasUnreportedSlots(id, now)).length,
    hasSuccessor: due.length > 0 && due.every(id => members.isLinked(id))
  }
}
