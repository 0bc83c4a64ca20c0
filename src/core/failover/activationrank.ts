/** The order in which the monitors of a group act when no owner of the primary's slots does. */

import type { Group } from '../group/group.ts'
import type { EndpointId } from '../id/endpoint.ts'

/** Slots of an endpoint, and so monitors that probe it. */
const SLOTS_PER_ENDPOINT = 2

/** How many monitors go before this one: the owners of the last primary's slots are first, then those of the next endpoint's. */
export function activationRank (group: Group, own: EndpointId, rank: number): number {
  const { samples, leader } = group
  const from = leader === undefined ? 0 : samples.indexOf(leader)
  const to = samples.findIndex(one => one.endpoint === own)
  return (to - from + samples.length) % samples.length * SLOTS_PER_ENDPOINT + rank
}
