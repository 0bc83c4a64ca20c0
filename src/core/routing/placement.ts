/**
 * Which host holds which slot, by rendezvous hashing over the live hosts: a
 * host that comes or goes moves only the slots that it gains or loses.
 */

import type { DataCentreId } from '../id/datacentre.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { HostId } from '../id/host.ts'

interface Candidate {
  readonly id: HostId
  readonly dataCentre: DataCentreId
}

/**
 * The hosts of an endpoint's slots, best first and at most `slots` of them.
 * The slots of one endpoint go to different data centres where there are
 * enough, so that a lost data centre never takes all watchers of a server.
 */
export function placeSlots (endpoint: EndpointId, hosts: readonly Candidate[], slots: number): readonly HostId[] {
  const ranked = hosts
    .map(host => ({ host, weight: hash(`${endpoint}/${host.id}`) }))
    .sort((a, b) => b.weight - a.weight || (a.host.id < b.host.id ? -1 : 1))
    .map(({ host }) => host)
  const spread = ranked.filter((host, i) =>
    ranked.findIndex(other => other.dataCentre === host.dataCentre) === i)
  const rest = ranked.filter(host => !spread.includes(host))
  return [...spread, ...rest].slice(0, slots).map(host => host.id)
}

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** 32-bit FNV-1a with a final mix; the same on every host, which is all that placement needs. */
function hash (text: string): number {
  let value = FNV_OFFSET
  for (let i = 0; i < text.length; i++) {
    value = Math.imul(value ^ text.charCodeAt(i), FNV_PRIME)
  }
  value = Math.imul(value ^ value >>> 16, 0x85ebca6b)
  value = Math.imul(value ^ value >>> 13, 0xc2b2ae35)
  return (value ^ value >>> 16) >>> 0
}
