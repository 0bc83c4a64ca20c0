/** The followers of this host, to which it sends the store's rows. */

import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import type { HostEntry } from './hostentry.ts'
import { HostRegistry } from './hostregistry.ts'

interface Follower {
  readonly entry: HostEntry
  readonly heardAt: Instant
  /** The number of its link; undefined once that is closed. */
  readonly link: number | undefined
}

/** Interval at which a follower sends keepalives. */
const KEEPALIVE_MS = 5000
/** Three missing keepalives: the follower is gone without closing its connection. */
const SILENCE_TIMEOUT_MS = 3 * KEEPALIVE_MS

/** Immutable; each event returns the next value. Links are numbered by this process, since a host may open a new one before its old one is closed. */
export class Followers {
  static readonly keepaliveMs = KEEPALIVE_MS
  static readonly none = new Followers(new Map())
  /** The open links. */
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

  /** A link was closed. Its host may still be alive and follow another one. */
  left (link: number): Followers {
    return this.map(one => one.link === link ? { ...one, link: undefined } : one)
  }

  /** Links without a message for longer than the silence timeout. */
  silent (now: Instant): readonly number[] {
    return [...this.byHost.values()].flatMap(({ link, heardAt }) => link !== undefined && now - heardAt > SILENCE_TIMEOUT_MS ? [link] : [])
  }

  /** Hosts that sent a message recently, with or without an open link, and when. */
  heard (now: Instant): ReadonlyArray<Pick<Follower, 'entry' | 'heardAt'>> {
    return [...this.byHost.values()].filter(({ heardAt }) => now - heardAt < HostRegistry.rowTtlMs)
  }

  private map (change: (one: Follower) => Follower): Followers {
    return new Followers(new Map([...this.byHost].map(([id, one]) => [id, change(one)])))
  }
}
