/** Which endpoints a read may use, the best first, by the knowledge of one host alone. */

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
  readonly logState: (id: EndpointId) => LogState
  /** Operations that wait for a connection to the endpoint, plus one if no connection is free. */
  readonly queued: (id: EndpointId) => number
  /** Whether a new connection would have to be opened, since the idle ones serve other teams. */
  readonly needsNewConnection: (id: EndpointId) => boolean
  readonly isReachable: (id: EndpointId) => boolean
}

/** Costs are in statements that have to be waited for. Another data centre costs about a millisecond, less than waiting for one statement. */
const REMOTE_COST = 0.5
/** Opening a connection occupies a place for about half as long as a statement, and costs both sides more work than the way to another data centre. */
const NEW_CONNECTION_COST = 0.6
/**
 * Only the primary takes writes, so among endpoints of one data centre replicas come first. A local primary still comes before a remote replica, which
 * costs each read the way there and its bytes: the cost of bytes between data centres on a quiet day is halved.
 */
const PRIMARY_COST = 0.25

/**
 * Endpoints for a read whose log must contain the position. Omits those that are leaving and those that are probably behind, except for the primary, whose
 * log contains everything.
 */
export function readCandidates (view: View, position: Token, now: Instant): readonly EndpointId[] {
  const usable = view.endpoints.filter(({ id, isLeaving }) => (!isLeaving || id === view.primary) && view.isReachable(id))
  const weighted = usable
    .map(endpoint => ({ id: endpoint.id, isPrimary: endpoint.id === view.primary, cost: costOf(view, endpoint) }))
    .filter(({ id, isPrimary }) => isPrimary || view.logState(id).mayContain(position, now))
  return weighted.sort((a, b) => a.cost - b.cost).map(({ id }) => id)
}

function costOf (view: View, { id, dataCentre }: Endpoint): number {
  const remote = dataCentre === view.dataCentre ? 0 : REMOTE_COST
  const opening = view.needsNewConnection(id) ? NEW_CONNECTION_COST : 0
  return view.queued(id) + opening + remote + (id === view.primary ? PRIMARY_COST : 0)
}
