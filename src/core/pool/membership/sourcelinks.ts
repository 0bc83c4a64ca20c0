/** The hosts from which this one hears what the store holds. */

import type { Instant } from '../../id/instant.ts'
import type { LinkId } from './linkid.ts'
import type { SyncTimings } from './synctimings.ts'

interface Link {
  readonly since: Instant
  readonly isOpen: boolean
  /** When the last word came; undefined before the first. */
  readonly heardAt: Instant | undefined
  /** Undefined until the host said so. */
  readonly hasTables: boolean | undefined
  /** What the store owes that host or one that it hears, by its last word; infinite before that. */
  readonly lateMs: number
  /** What it owes that host alone. */
  readonly ownLateMs: number
  /** When the oldest word was said over it that no welcome answered; on the clock that counts suspension. */
  readonly unansweredSince: Instant | undefined
}

type LinkFault = 'unreachable' | 'silent' | 'late'

/** A host that failed is left out for so long: a process that is started again takes about a second. */
const EXCLUSION_MS = 2000
/** While so many are left out, none more is for being late: the store keeps all waiting then, and each host that is tried instead asks it once more. */
const MAX_EXCLUDED = 4

/** Immutable; what happens to links yields the next value. */
export class SourceLinks {
  private constructor (private readonly links: ReadonlyMap<LinkId, Link>, private readonly excludedAt: ReadonlyMap<LinkId, Instant>) {}

  static readonly none = new SourceLinks(new Map(), new Map())

  get ids (): readonly LinkId[] {
    return [...this.links.keys()]
  }

  get open (): readonly LinkId[] {
    return this.ids.filter(id => this.links.get(id)?.isOpen === true)
  }

  has (id: LinkId): boolean {
    return this.links.has(id)
  }

  dialing (id: LinkId, now: Instant): SourceLinks {
    return this.with(id, { since: now, isOpen: false, heardAt: undefined, hasTables: undefined, lateMs: Infinity, ownLateMs: Infinity, unansweredSince: undefined })
  }

  opened (id: LinkId, now: Instant): SourceLinks {
    return this.change(id, { isOpen: true, since: now })
  }

  welcomeReceived (id: LinkId, hasTables: boolean, now: Instant): SourceLinks {
    return this.change(id, { heardAt: now, hasTables, unansweredSince: undefined })
  }

  /** Something was said that a welcome answers. */
  messageSent (id: LinkId, age: Instant): SourceLinks {
    return this.change(id, { unansweredSince: this.unansweredSince(id) ?? age })
  }

  unansweredSince (id: LinkId): Instant | undefined {
    return this.links.get(id)?.unansweredSince
  }

  heard (id: LinkId, now: Instant): SourceLinks {
    return this.change(id, { heardAt: now })
  }

  beat (id: LinkId, late: Pick<Link, 'lateMs' | 'ownLateMs'>, hasTables: boolean, now: Instant): SourceLinks {
    return this.change(id, { ...late, heardAt: now, hasTables })
  }

  /** Not needed any more. */
  without (id: LinkId): SourceLinks {
    return new SourceLinks(new Map([...this.links].filter(([other]) => other !== id)), this.excludedAt)
  }

  /** It failed, so it's left out for a while. */
  lost (id: LinkId, now: Instant): SourceLinks {
    const kept = [...this.excludedAt].filter(([, at]) => now - at < EXCLUSION_MS)
    return new SourceLinks(this.without(id).links, new Map([...kept, [id, now]]))
  }

  /** `forMs`: for how long one that failed is left out. */
  isExcluded (id: LinkId, now: Instant, forMs = EXCLUSION_MS): boolean {
    return now - (this.excludedAt.get(id) ?? -Infinity) < forMs
  }

  /** Whether what this host has is as new as what the one at the other end has, and that one hears from the store. */
  isCurrent (id: LinkId, { silenceTimeoutMs: silentMs, answerMs }: SyncTimings, now: Instant): boolean {
    const link = this.links.get(id)
    return link?.heardAt !== undefined && now - link.heardAt <= silentMs && link.lateMs <= answerMs
  }

  /**
   * What the store owes the best off of the hosts at the other ends, as far as that is known here. Only what it owes them alone counts: two that hear each other
   * and nobody else would else take each other's word for the store's.
   */
  latenessMs (now: Instant): number {
    return Math.min(Infinity, ...[...this.links.values()].map(({ heardAt, ownLateMs }) => heardAt === undefined ? Infinity : ownLateMs + now - heardAt))
  }

  /** Whether a link may soon bring the tables: it's opening, or the host at its end has them. */
  isExpectingTables (withinMs: number, { silenceTimeoutMs: silentMs }: SyncTimings, now: Instant): boolean {
    return [...this.links.values()].some(({ since, hasTables }) => hasTables === undefined ? now - since < withinMs : hasTables && now - since < silentMs)
  }

  /** Links to give up, and why: no host at the other end, none that speaks, or one that the store keeps waiting. */
  failing ({ silenceTimeoutMs: silentMs, answerMs }: SyncTimings, now: Instant): ReadonlyMap<LinkId, LinkFault> {
    const missed = [...this.excludedAt.keys()].filter(id => this.isExcluded(id, now)).length
    const faultOf = ({ since, isOpen, heardAt, lateMs }: Link): LinkFault | undefined => {
      // Not sooner: a host to which forty others turn at once takes a third of a second for them, and would be left by all for the next.
      if (!isOpen) return now - since > silentMs ? 'unreachable' : undefined
      if (now - (heardAt ?? since) > silentMs) return 'silent'
      // A host that was asked first a moment ago asks the store only since then.
      return lateMs > answerMs && now - since > silentMs && missed < MAX_EXCLUDED ? 'late' : undefined
    }
    return new Map([...this.links].flatMap(([id, link]) => {
      const fault = faultOf(link)
      return fault === undefined ? [] : [[id, fault]]
    }))
  }

  /** This process itself did nothing for a while, so nobody else's silence counts. */
  shiftedBy (ms: number): SourceLinks {
    const later = (at: Instant) => at + ms as Instant
    return new SourceLinks(new Map([...this.links].map(([id, link]) => [id, {
      ...link,
      since: later(link.since),
      heardAt: link.heardAt === undefined ? undefined : later(link.heardAt)
    }])), this.excludedAt)
  }

  private change (id: LinkId, change: Partial<Link>): SourceLinks {
    const link = this.links.get(id)
    return link === undefined ? this : this.with(id, { ...link, ...change })
  }

  private with (id: LinkId, link: Link): SourceLinks {
    return new SourceLinks(new Map([...this.links, [id, link]]), this.excludedAt)
  }
}
