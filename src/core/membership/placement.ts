/**
 * Which host holds which slot, by rendezvous hashing: a host that comes or
 * goes moves only the slots that it gains or loses.
 */

import type { EndpointId } from '../id/endpoint.ts'
import type { HostId } from '../id/host.ts'
import { weightOf } from '../weight.ts'
import type { Host } from './host.ts'

type Candidate = Pick<Host, 'id' | 'dataCentre'>

interface Ranked {
  readonly host: Candidate
  readonly seed: number
}

interface Placed {
  readonly hosts: readonly Candidate[]
  readonly slots: number
  /** The weight that a new host has to beat to change the answer; -1 when any may. */
  readonly least: number
}

/**
 * The placement over one set of hosts. Immutable to its users; it remembers
 * what it has worked out, and `with` carries over what a change of hosts
 * leaves as it was, so a change costs one comparison an endpoint.
 */
export class Placement {
  private constructor (
    private readonly ranked: readonly Ranked[],
    private readonly placed: Map<EndpointId, Placed>
  ) {}

  static readonly empty = new Placement([], new Map())

  /** The same value when the hosts are the same. */
  with (hosts: readonly Candidate[]): Placement {
    const old = new Map(this.ranked.map(one => [one.host.id, one.host]))
    const isKnown = (host: Candidate): boolean => old.get(host.id)?.dataCentre === host.dataCentre
    const added = hosts.filter(host => !isKnown(host))
    if (added.length === 0 && hosts.length === old.size) return this
    const staying = new Set(hosts.filter(isKnown).map(host => host.id))
    const seeds = added.map(host => weightOf(host.id))
    const placed = new Map<EndpointId, Placed>()
    for (const [endpoint, one] of this.placed) {
      const seed = weightOf(endpoint)
      const isAsBefore = one.hosts.every(host => staying.has(host.id)) &&
        seeds.every(other => pairWeight(seed, other) < one.least)
      if (isAsBefore) placed.set(endpoint, one)
    }
    return new Placement(hosts.map(host => ({ host, seed: weightOf(host.id) })), placed)
  }

  /**
   * The hosts of an endpoint's slots, best first and at most `slots` of them.
   * The slots of one endpoint go to different data centres where there are
   * enough, so that a lost data centre never takes all watchers of a server.
   */
  hosts (endpoint: EndpointId, slots: number): readonly HostId[] {
    const known = this.placed.get(endpoint)
    const placed = known?.slots === slots ? known : this.place(endpoint, slots)
    this.placed.set(endpoint, placed)
    return placed.hosts.map(host => host.id)
  }

  private place (endpoint: EndpointId, slots: number): Placed {
    const seed = weightOf(endpoint)
    const weighed = this.ranked.map(({ host, seed: other }) => ({ host, weight: pairWeight(seed, other) }))
    const best = new Map<string, typeof weighed[number]>()
    for (const one of weighed) {
      const other = best.get(one.host.dataCentre)
      if (other === undefined || compare(one, other) < 0) best.set(one.host.dataCentre, one)
    }
    const spread = [...best.values()].sort(compare)
    if (spread.length >= slots) {
      const chosen = spread.slice(0, slots)
      return { hosts: chosen.map(one => one.host), slots, least: chosen.at(-1)?.weight ?? -1 }
    }
    const rest = weighed.filter(one => !spread.includes(one)).sort(compare)
    return { hosts: [...spread, ...rest].slice(0, slots).map(one => one.host), slots, least: -1 }
  }
}

function compare (a: { host: Candidate, weight: number }, b: { host: Candidate, weight: number }): number {
  return b.weight - a.weight || (a.host.id < b.host.id ? -1 : 1)
}

/** Depends on both ids. Each id is hashed once, since 2,000 hosts are weighed for each of 13,500 endpoints. */
function pairWeight (endpoint: number, host: number): number {
  let value = Math.imul(endpoint ^ host, 0x85ebca6b)
  value = Math.imul(value ^ value >>> 13, 0xc2b2ae35)
  return (value ^ value >>> 16) >>> 0
}
