/** Which host issues the tokens of each place, as the shared row says. */

import * as z from 'zod'
import type { HostId } from '../id/host.ts'
import { readJson } from '../readjson.ts'
import { weightOf } from '../weight.ts'
import { Shard } from './shard.ts'

interface Place {
  readonly host: HostId
  /** How often the place was given to another host. From 1 on there was one before, who may not have heard yet that it was replaced. */
  readonly term: number
}

const shape = z.array(z.object({ host: z.string().transform(id => id as HostId), term: z.int().nonnegative() }))

/** One place for so many hosts, so that what an issuer has to do doesn't grow with the hosts. */
const HOSTS_PER_PLACE = 7

/** Immutable. The number of places never changes: with it a team's shards would move to other hosts. */
export class IssuerTable {
  private constructor (readonly places: readonly Place[]) {}

  /** Where nobody issued before. */
  static initial (hosts: readonly HostId[]): IssuerTable {
    const count = Math.max(Math.min(hosts.length, Shard.most), Math.ceil(hosts.length / HOSTS_PER_PLACE))
    const ranked = byWeight(hosts)
    return new IssuerTable(Array.from({ length: count }, (_, i) => ({ host: ranked[i]!, term: 0 })))
  }

  /** Undefined for a row that can't be read. */
  static decode (text: string): IssuerTable | undefined {
    const parsed = shape.safeParse(readJson(text))
    return parsed.success && parsed.data.length > 0 ? new IssuerTable(parsed.data) : undefined
  }

  encode (): string {
    return JSON.stringify(this.places)
  }

  hostAt (place: number): HostId | undefined {
    return this.places[place]?.host
  }

  /** With another host in place of one that doesn't answer: the first that issues nowhere yet; undefined when there is none. */
  withReplacement (place: number, hosts: readonly HostId[]): IssuerTable | undefined {
    const used = new Set(this.places.map(({ host }) => host))
    const next = byWeight(hosts).find(host => !used.has(host))
    return next === undefined ? undefined : new IssuerTable(this.places.map((one, i) => i === place ? { host: next, term: one.term + 1 } : one))
  }
}

function byWeight (hosts: readonly HostId[]): readonly HostId[] {
  return [...hosts].map(host => ({ host, weight: weightOf(`issuer/${host}`) })).sort((a, b) => b.weight - a.weight).map(({ host }) => host)
}
