/** The order in which hosts act as readers, which every host derives from the host registry. */

import type { DataCentreId } from '../../id/datacentre.ts'
import { interleave } from '../../interleave.ts'
import { weightOf } from '../../weight.ts'
import type { HostEntry } from './hostentry.ts'

/**
 * Orders the hosts of each data centre by rendezvous hashing: all hosts compute the same order from the same host registry, and a host that
 * comes or goes doesn't change the order of the others.
 */
export class ReaderRanking {
  private constructor (
    /** All live hosts, sorted by id. */
    readonly hosts: readonly HostEntry[],
    /** Hosts of this data centre; the first ones are its readers. */
    readonly local: readonly HostEntry[],
    /** Hosts of the other data centres: the first of each, then the second of each, and so on. Hosts begin with different data centres. */
    readonly remote: readonly HostEntry[]
  ) {}

  static of (hosts: readonly HostEntry[], self: HostEntry): ReaderRanking {
    const dataCentres = [...new Set(hosts.map(({ dataCentre }) => dataCentre))].filter(id => id !== self.dataCentre)
    const others = byWeight(dataCentres, id => `${self.id}/${id}`).map(id => readersOf(hosts, id))
    return new ReaderRanking([...hosts].sort((a, b) => a.id < b.id ? -1 : 1), readersOf(hosts, self.dataCentre), interleave(others))
  }

  /** Whether both rankings have the same hosts with the same addresses. */
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
