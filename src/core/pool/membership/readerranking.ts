/** Which hosts ask the store for all, as follows from what everybody knows. */

import type { DataCentreId } from '../../id/datacentre.ts'
import { interleave } from '../../interleave.ts'
import { weightOf } from '../../weight.ts'
import type { HostEntry } from './hostentry.ts'

/**
 * The hosts of a data centre in the order in which they ask the store for the others, by rendezvous
 * hashing: every host works out the same order from the same roll, without a vote, and a host that comes or goes moves no other.
 */
export class ReaderRanking {
  private constructor (
    /** All that are alive. */
    readonly hosts: readonly HostEntry[],
    /** Of this data centre, the first to ask the store first. */
    readonly local: readonly HostEntry[],
    /** Of the others: the first of each, the second of each, and so on, beginning with another data centre from host to host. */
    readonly remote: readonly HostEntry[]
  ) {}

  static of (hosts: readonly HostEntry[], self: HostEntry): ReaderRanking {
    const centres = [...new Set(hosts.map(({ dataCentre }) => dataCentre))].filter(id => id !== self.dataCentre)
    const others = byWeight(centres, id => `${self.id}/${id}`).map(id => readersOf(hosts, id))
    return new ReaderRanking([...hosts].sort((a, b) => a.id < b.id ? -1 : 1), readersOf(hosts, self.dataCentre), interleave(others))
  }

  /** Whether the other one names the same hosts at the same places. */
  equals (other: ReaderRanking): boolean {
    const { hosts } = other
    return hosts.length === this.hosts.length && this.hosts.every((host, i) => isSame(host, hosts[i]!))
  }
}

function readersOf (hosts: readonly HostEntry[], dataCentre: DataCentreId): readonly HostEntry[] {
  return byWeight(hosts.filter(host => host.dataCentre === dataCentre), ({ id }) => `readers/${dataCentre}/${id}`)
}

function byWeight<T> (items: readonly T[], keyOf: (item: T) => string): readonly T[] {
  return items.map(item => ({ item, weight: weightOf(keyOf(item)) })).sort((a, b) => b.weight - a.weight).map(({ item }) => item)
}

function isSame (a: HostEntry, b: HostEntry): boolean {
  return a.id === b.id && a.dataCentre === b.dataCentre && a.address.ip === b.address.ip && a.address.port === b.address.port && a.linkPort === b.linkPort && a.capacity === b.capacity
}
