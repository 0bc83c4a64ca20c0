/** The hosts that hear from this one what the store holds, and so those that this one hears. */

import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import type { HostEntry } from './hostentry.ts'
import { HostRegistry } from './hostregistry.ts'

interface Follower {
  readonly entry: HostEntry
  readonly heardAt: Instant
  /** Undefined when its link is closed. */
  readonly link: number | undefined
}

/** A host that follows speaks so often. Milliseconds. */
const KEEPALIVE_MS = 5000
/** Three words that didn't come: the other end is gone without a reset. */
const SILENCE_TIMEOUT_MS = 3 * KEEPALIVE_MS

/** Immutable; what happens to links yields the next value. Links are numbered by the process, since a host may open a new one before the old one is closed. */
export class Followers {
  static readonly keepaliveMs = KEEPALIVE_MS
  static readonly none = new Followers(new Map())
  /** The links of those that follow. */
  readonly links: readonly number[]

  private constructor (private readonly byHost: ReadonlyMap<HostId, Follower>) {
    this.links = [...byHost.values()].flatMap(({ link }) => link === undefined ? [] : [link])
  }

  add (link: number, entry: HostEntry, now: Instant): Followers {
    return new Followers(new Map([...this.byHost, [entry.id, { entry, heardAt: now, link }]]))
  }

  markHeard (link: number, now: Instant): Followers {
    return this.map(one => one.link === link ? { ...one, heardAt: now } : one)
  }

  /** The host may be alive still, and hear from another. */
  left (link: number): Followers {
    return this.map(one => one.link === link ? { ...one, link: undefined } : one)
  }

  /** Links over which nothing came for too long. */
  silent (now: Instant): readonly number[] {
    return [...this.byHost.values()].flatMap(({ link, heardAt }) => link !== undefined && now - heardAt > SILENCE_TIMEOUT_MS ? [link] : [])
  }

  /** Hosts that were heard lately, linked or not, and when. */
  heard (now: Instant): ReadonlyArray<Pick<Follower, 'entry' | 'heardAt'>> {
    return [...this.byHost.values()].filter(({ heardAt }) => now - heardAt < HostRegistry.rowTtlMs)
  }

  private map (change: (one: Follower) => Follower): Followers {
    return new Followers(new Map([...this.byHost].map(([id, one]) => [id, change(one)])))
  }
}
