/** Which host issues the tokens of each place, as stored in the shared row. */

import * as z from 'zod'
import type { HostId } from '../id/host.ts'
import { readJson } from '../readjson.ts'
import { weightOf } from '../weight.ts'
import { Shard } from './shard.ts'

interface Place {
  readonly host: HostId
  /** How often the place was reassigned. If it's 1 or more, an earlier issuer may not know yet that it was replaced. */
  readonly term: number
}

const shape = z.array(z.object({ host: z.string().transform(id => id as HostId), term: z.int().nonnegative() }))

/** Hosts per place, so that the work of an issuer doesn't grow with the number of hosts. */
const HOSTS_PER_PLACE = 7

/** Immutable. The number of places never changes: changing it would move teams' shards to other hosts. */
export class IssuerTable {
  private constructor (readonly places: readonly Place[]) {}

  /** The initial table, when no host has issued before. */
  static initial (hosts: readonly HostId[]): IssuerTable {
    const count = Math.max(Math.min(hosts.length, Shard.most), Math.ceil(hosts.length / HOSTS_PER_PLACE))
    const ranked = byWeight(hosts)
    return new IssuerTable(Array.from({ length: count }, (_, i) => ({ host: ranked[i]!, term: 0 })))
  }

  /** Decodes a row; undefined if it's unreadable. */
  static decode (text: string): IssuerTable | undefined {
    const parsed = shape.safeParse(readJson(text))
    return parsed.success && parsed.data.length > 0 ? new IssuerTable(parsed.data) : undefined
  }

  encode (): string {
    return JSON.stringify(this.places)
  }

  /** The host that issues at the place; undefined if there is no such place. */
  hostAt (place: number): HostId | undefined {
    return this.places[place]?.host
  }

  /** The table with the host of a place replaced by the first one that issues nowhere; undefined if there is none. */
  withReplacement (place: number, hosts: readonly HostId[]): IssuerTable | undefined {
    const used = new Set(this.places.map(({ host }) => host))
    const next = byWeight(hosts).find(host => !used.has(host))
    return next === undefined ? undefined : new IssuerTable(this.places.map((one, i) => i === place ? { host: next, term: one.term + 1 } : one))
  }
}

function byWeight (hosts: readonly HostId[]): readonly HostId[] {
  return [...hosts].map(host => ({ host, weight: weightOf(`issuer/${host}`) })).sort((a, b) => b.weight - a.weight).map(({ host }) => host)
}
