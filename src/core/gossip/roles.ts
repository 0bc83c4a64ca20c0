/**
 * Who asks the store and who tells whom, by rendezvous hashing over the host
 * list: every host comes to the same answer without a word, and a host that
 * comes or goes changes few of them.
 */

import type { DataCentreId } from '../id/datacentre.ts'
import type { HostId } from '../id/host.ts'
import { weightOf } from '../weight.ts'

interface Host {
  readonly id: HostId
  readonly dataCentre: DataCentreId
}

/** Polls survive the loss of two pollers of every data centre, and of whole data centres. */
const POLLERS_PER_DATA_CENTRE = 3

/** With five, a push reaches 2,000 members in a handful of rounds; see bench/gossip.ts. */
const PARTNERS = 5

/**
 * Guard against a member that is told nothing while its region is cut off, or another one: with partners chosen
 * over all hosts, 6 of 2,000 had them all behind the cut. Those of its own data centre stay within reach.
 */
const LOCAL_PARTNERS = 3

/** The part of one host. Immutable; made anew from each host list. */
export class Roles {
  private constructor (
    /** Whether this host polls the store for all. */
    readonly isPoller: boolean,
    /** The hosts that this one tells of news. */
    readonly partners: readonly HostId[]
  ) {}

  static of (self: HostId, hosts: readonly Host[]): Roles {
    const dataCentre = hosts.find(host => host.id === self)?.dataCentre
    const near = hosts.filter(host => host.dataCentre === dataCentre).map(host => host.id)
    const pollers = topByWeight(near, POLLERS_PER_DATA_CENTRE, id => weightOf(`poll/${id}`))
    const weigh = (id: HostId): number => weightOf(`${self}/${id}`)
    const own = topByWeight(near.filter(id => id !== self), LOCAL_PARTNERS, weigh)
    const others = hosts.filter(host => host.dataCentre !== dataCentre).map(host => host.id)
    const partners = [...own, ...topByWeight(others, PARTNERS - own.length, weigh)]
    // A host that the list doesn't show yet asks for itself.
    return new Roles(dataCentre === undefined || pollers.includes(self), partners)
  }
}

/** The ids with the highest weights, in one pass: at 2,000 hosts sorting them all would cost more. */
function topByWeight (ids: readonly HostId[], count: number, weight: (id: HostId) => number): readonly HostId[] {
  const found: Array<{ readonly id: HostId, readonly weight: number }> = []
  for (const id of ids) {
    const entry = { id, weight: weight(id) }
    if (found.length === count && entry.weight <= found.at(-1)!.weight) continue
    found.push(entry)
    found.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    found.length = Math.min(found.length, count)
  }
  return found.map(entry => entry.id)
}
