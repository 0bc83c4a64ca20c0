/**
 * Places slots on hosts by rendezvous hashing: a host that comes or goes moves
 * only the slots that it gains or loses.
 */

import type { EndpointId } from '../id/endpoint.ts'
import type { HostId } from '../id/host.ts'
import { mix } from '../mix.ts'
import { weightOf } from '../weight.ts'
import type { Host } from './host.ts'

type Candidate = Pick<Host, 'id' | 'dataCentre'>

interface CachedHosts {
  readonly seed: number
  readonly hosts: readonly HostId[]
  readonly slots: number
  /** The weight that a new host has to exceed to change the result; -1 when any may. */
  readonly minWeight: number
}

/**
 * The placement over one set of hosts. Immutable apart from its cache; `with`
 * carries over the results that a change of hosts doesn't affect.
 */
export class Placement {
  private readonly seeds: Uint32Array
  /** The number of each host's data centre. */
  private readonly dataCentreNumbers: Uint16Array
  private readonly dataCentreCount: number

  private constructor (private readonly candidates: readonly Candidate[], private readonly cache: Map<EndpointId, CachedHosts>) {
    const numbers = new Map([...new Set(candidates.map(host => host.dataCentre))].map((id, i) => [id, i]))
    this.seeds = Uint32Array.from(candidates, host => weightOf(host.id))
    this.dataCentreNumbers = Uint16Array.from(candidates, host => numbers.get(host.dataCentre)!)
    this.dataCentreCount = numbers.size
  }

  static readonly empty = new Placement([], new Map())

  /** Returns the same value when the hosts are the same. */
  with (hosts: readonly Candidate[]): Placement {
    const old = new Map(this.candidates.map(host => [host.id, host.dataCentre]))
    const added = hosts.filter(host => old.get(host.id) !== host.dataCentre)
    if (added.length === 0 && hosts.length === old.size) return this
    const staying = new Set(hosts.filter(host => old.get(host.id) === host.dataCentre).map(host => host.id))
    const seeds = added.map(host => weightOf(host.id))
    const placed = new Map<EndpointId, CachedHosts>()
    for (const [endpoint, one] of this.cache) {
      const isAsBefore = one.hosts.every(id => staying.has(id)) &&
        seeds.every(seed => pairWeight(one.seed, seed) < one.minWeight)
      if (isAsBefore) placed.set(endpoint, one)
    }
    return new Placement(hosts, placed)
  }

  /**
   * The hosts of an endpoint's slots, best first and at most `slots` of them.
   * They are in different data centres where there are enough, so that the loss
   * of a data centre never takes all monitors of a server.
   */
  hosts (endpoint: EndpointId, slots: number): readonly HostId[] {
    const known = this.cache.get(endpoint)
    if (known?.slots === slots) return known.hosts
    const placed = this.place(weightOf(endpoint), slots)
    this.cache.set(endpoint, placed)
    return placed.hosts
  }

  private place (seed: number, slots: number): CachedHosts {
    const spread = this.bestPerDataCentre(seed).sort((a, b) => this.compare(seed, a, b))
    if (spread.length >= slots) {
      const chosen = spread.slice(0, slots)
      return { seed, hosts: this.idsOf(chosen), slots, minWeight: this.weight(seed, chosen.at(-1) ?? -1) }
    }
    const rest = [...this.candidates.keys()].filter(i => !spread.includes(i)).sort((a, b) => this.compare(seed, a, b))
    return { seed, hosts: this.idsOf([...spread, ...rest].slice(0, slots)), slots, minWeight: -1 }
  }

  /** Runs over all hosts for each endpoint, 27 million times when a node starts, so it avoids an allocation for each. */
  private bestPerDataCentre (seed: number): number[] {
    const best = new Array<number>(this.dataCentreCount).fill(-1)
    for (let i = 0; i < this.seeds.length; i++) {
      const dataCentre = this.dataCentreNumbers[i]!
      const other = best[dataCentre]!
      if (other < 0 || this.compare(seed, i, other) < 0) best[dataCentre] = i
    }
    return best
  }

  private compare (seed: number, a: number, b: number): number {
    return this.weight(seed, b) - this.weight(seed, a) || (this.candidates[a]!.id < this.candidates[b]!.id ? -1 : 1)
  }

  /** -1 for no host. */
  private weight (seed: number, i: number): number {
    return i < 0 ? -1 : pairWeight(seed, this.seeds[i]!)
  }

  private idsOf (chosen: readonly number[]): readonly HostId[] {
    return chosen.map(i => this.candidates[i]!.id)
  }
}

/** The weight of an endpoint and a host, from the hashes of their ids, so that each id is hashed once and not once a pair. */
function pairWeight (endpoint: number, host: number): number {
  return mix(endpoint ^ host)
}
