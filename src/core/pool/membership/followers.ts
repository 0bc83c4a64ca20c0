/** The hosts that hear from this one what the store holds, and so those that this one hears. */

import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import type { HostEntry } from './hostentry.ts'
import { Roll } from './roll.ts'

interface Follower {
  readonly entry: HostEntry
  readonly heardAt: Instant
  /** Undefined when its link is closed. */
  readonly link: number | undefined
}

/** A host that follows speaks so often. Milliseconds. */
const SPEAK_MS = 5000
/** Three words that didn't come: the other end is gone without a reset. */
const LOST_MS = 3 * SPEAK_MS

/** Immutable; what happens to links yields the next value. Links are numbered by the process, since a host may open a new one before the old one is closed. */
export class Followers {
  static readonly speakMs = SPEAK_MS
  static readonly none = new Followers(new Map())
  /** The links of those that follow. */
  readonly links: readonly number[]

  private constructor (private readonly known: ReadonlyMap<HostId, Follower>) {
    this.links = [...known.values()].flatMap(({ link }) => link === undefined ? [] : [link])
  }

  followed (link: number, entry: HostEntry, now: Instant): Followers {
    return new Followers(new Map([...this.known, [entry.id, { entry, heardAt: now, link }]]))
  }

  spoke (link: number, now: Instant): Followers {
    return this.map(one => one.link === link ? { ...one, heardAt: now } : one)
  }

  /** The host may be alive still, and hear from another. */
  left (link: number): Followers {
    return this.map(one => one.link === link ? { ...one, link: undefined } : one)
  }

  /** Links over which nothing came for too long. */
  silent (now: Instant): readonly number[] {
    return [...this.known.values()].flatMap(({ link, heardAt }) => link !== undefined && now - heardAt > LOST_MS ? [link] : [])
  }

  /** Hosts that were heard lately, linked or not, and when. */
  heard (now: Instant): ReadonlyArray<Pick<Follower, 'entry' | 'heardAt'>> {
    return [...this.known.values()].filter(({ heardAt }) => now - heardAt < Roll.aliveMs)
  }

  private map (change: (one: Follower) => Follower): Followers {
    return new Followers(new Map([...this.known].map(([id, one]) => [id, change(one)])))
  }
}
