/** The order in which the monitors of a group act when no owner of the primary's slots does. */

import type { Group } from '../group/group.ts'
import type { EndpointId } from '../id/endpoint.ts'

/** Slots of an endpoint; the owner of each runs a monitor. */
const SLOTS_PER_ENDPOINT = 2

/** The number of monitors that act before this one: the owners of the last primary's slots are first, then those of the next endpoint's. */
export function activationRank (group: Group, ownEndpoint: EndpointId, rank: number): number {
  const { samples, leader } = group
  const from = leader === undefined ? 0 : samples.indexOf(leader)
  const to = samples.findIndex(one => one.endpoint === ownEndpoint)
  return (to - from + samples.length) % samples.length * SLOTS_PER_ENDPOINT + rank
}
