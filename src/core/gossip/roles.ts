/**
 * Which hosts poll the store and which partners each host has, by rendezvous
 * hashing over the host list: all hosts compute the same answer without
 * coordination, and a host that comes or goes changes few of them.
 */

import type { DataCentreId } from '../id/datacentre.ts'
import type { HostId } from '../id/host.ts'
import { weightOf } from '../weight.ts'

interface Host {
  readonly id: HostId
  readonly dataCentre: DataCentreId
}

/** Polling survives the loss of two pollers of every data centre, and of whole data centres. */
const POLLERS_PER_DATA_CENTRE = 3

/** With five a push reaches all of some thousand hosts in a few rounds. */
const PARTNERS = 5

/** Partners in the host's own data centre, which stay reachable when a region is cut off. */
const LOCAL_PARTNERS = 3

/** The roles of one host. Immutable; computed anew from each host list. */
export class Roles {
  private constructor (
    /** Whether this host polls the store for the others. */
    readonly isPoller: boolean,
    /** The hosts to which this one sends new versions. */
    readonly partners: readonly HostId[]
  ) {}

  static of (self: HostId, hosts: readonly Host[]): Roles {
    const dataCentre = hosts.find(host => host.id === self)?.dataCentre
    const local = hosts.filter(host => host.dataCentre === dataCentre).map(host => host.id)
    const pollers = topByWeight(local, POLLERS_PER_DATA_CENTRE, id => weightOf(`poll/${id}`))
    const weigh = (id: HostId): number => weightOf(`${self}/${id}`)
    const localPartners = topByWeight(local.filter(id => id !== self), LOCAL_PARTNERS, weigh)
    const others = hosts.filter(host => host.dataCentre !== dataCentre).map(host => host.id)
    const partners = [...localPartners, ...topByWeight(others, PARTNERS - localPartners.length, weigh)]
    // A host that isn't in the list yet polls for itself.
    return new Roles(dataCentre === undefined || pollers.includes(self), partners)
  }
}

/** The ids with the highest weights, found in one pass without sorting them all. */
function topByWeight (ids: readonly HostId[], count: number, weight: (id: HostId) => number): readonly HostId[] {
  const top: Array<{ readonly id: HostId, readonly weight: number }> = []
  for (const id of ids) {
    const entry = { id, weight: weight(id) }
    if (top.length === count && entry.weight <= top.at(-1)!.weight) continue
    top.push(entry)
    top.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    top.length = Math.min(top.length, count)
  }
  return top.map(entry => entry.id)
}
