/** How one host stands to the slots of an endpoint, from its duties and from what the others say they hold. */

import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { Duties } from './duties.ts'
import type { Members } from './members.ts'
import type { decideTenure } from './tenure.ts'

/** Undefined for an endpoint that isn't configured. */
export function standingAt (endpoint: EndpointId, duties: Duties, members: Members, isHeld: boolean, now: Instant): Parameters<typeof decideTenure>[0] | undefined {
  const group = duties.group(endpoint)
  if (group === undefined) return undefined
  const due = duties.due(endpoint)
  return {
    slots: group.slotsPerEndpoint,
    isHeld,
    isDue: duties.rank(endpoint) !== undefined,
    others: members.holders(endpoint, now).length,
    unknown: duties.possible(endpoint).filter(id => members.isUnknown(id, now)).length,
    hasSuccessor: due.length > 0 && due.every(id => members.isLinked(id))
  }
}
