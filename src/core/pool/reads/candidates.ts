/** Which endpoints an operation may use, the best first. */

import type { Endpoint } from '../../directory/endpoint.ts'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { EndpointId } from '../../id/endpoint.ts'
import type { Instant } from '../../id/instant.ts'
import type { Token } from '../../token.ts'
import type { LogState } from './logstate.ts'

interface View {
  readonly endpoints: readonly Endpoint[]
  readonly primary: EndpointId | undefined
  readonly dataCentre: DataCentreId
  readonly standing: (id: EndpointId) => LogState
  /** Operations that wait for a connection of the endpoint, and whether none of its connections is free. */
  readonly queued: (id: EndpointId) => number
  /** Whether a connection would have to be opened for it, since those that are unused serve other teams. */
  readonly needsNewConnection: (id: EndpointId) => boolean
  readonly isReachable: (id: EndpointId) => boolean
}

/** An operation that would wait at one data centre's endpoint goes to another's: a hop costs about a millisecond, a queue's place a whole statement. */
const REMOTE_COST = 0.5
/** Opening a connection takes a place of the endpoint for about half as long as a statement does, and costs both sides more work than the way to another data centre. */
const NEW_CONNECTION_COST = 0.6
/**
 * The primary alone takes writes, so among endpoints as near a replica goes
 * first; but a replica in another data centre costs each read the way there and
 * its bytes (halved on the second site's quiet day: 0.028 to 0.014 of the worth), so the own data centre's primary goes before it.
 */
const PRIMARY_COST = 0.25

/**
 * Endpoints for a read whose log must hold the position. Those that leave get
 * no new work, and those that are likely too short are left out, but for the
 * primary, which holds everything.
 */
export function readCandidates (view: View, position: Token, now: Instant): readonly EndpointId[] {
  const usable = view.endpoints.filter(({ id, isLeaving }) => (!isLeaving || id === view.primary) && view.isReachable(id))
  const weighed = usable
    .map(endpoint => ({ id: endpoint.id, isPrimary: endpoint.id === view.primary, cost: costOf(view, endpoint) }))
    .filter(({ id, isPrimary }) => isPrimary || view.standing(id).mayContain(position, now))
  return weighed.sort((a, b) => a.cost - b.cost).map(({ id }) => id)
}

function costOf (view: View, { id, dataCentre }: Endpoint): number {
  const far = dataCentre === view.dataCentre ? 0 : REMOTE_COST
  const opening = view.needsNewConnection(id) ? NEW_CONNECTION_COST : 0
  return view.queued(id) + opening + far + (id === view.primary ? PRIMARY_COST : 0)
}
