/** Links to this host's sources, the hosts that send it the store's rows. */

import type { Instant } from '../../id/instant.ts'
import type { LinkId } from './linkid.ts'
import type { SyncTimings } from './synctimings.ts'

interface Link {
  /** When it was dialled, or opened once it is open. */
  readonly since: Instant
  readonly isOpen: boolean
  /** When the last message arrived; undefined before the first. */
  readonly heardAt: Instant | undefined
  /** When a part of a message arrived that wasn't whole yet; undefined before the first. */
  readonly partAt: Instant | undefined
  /** Whether the source has every table; undefined until it said so. */
  readonly hasTables: boolean | undefined
  /** By how much the store's answer is overdue at the source or at one of its own sources, by its last heartbeat; infinite before that. */
  readonly lateMs: number
  /** The same at the source alone. */
  readonly ownLateMs: number
  /** When the oldest message that awaits a welcome was sent, on the clock that counts suspension. */
  readonly unansweredSince: Instant | undefined
  /** Whether the source marks rows to be confirmed; one of an earlier program version doesn't. */
  readonly isConfirmed: boolean
}

type LinkFault = 'unreachable' | 'silent' | 'late'

/** Time for which a failed source isn't used: a restart takes about a second. */
const EXCLUSION_MS = 2000
/** With this many excluded, no other source is excluded for being late: the store is slow for all, and each replacement would query it as well. */
const MAX_EXCLUDED = 4

/** Immutable; each event returns the next value. */
export class SourceLinks {
  private constructor (private readonly links: ReadonlyMap<LinkId, Link>, private readonly excludedAt: ReadonlyMap<LinkId, Instant>) {}

  static readonly none = new SourceLinks(new Map(), new Map())

  get ids (): readonly LinkId[] {
    return [...this.links.keys()]
  }

  get open (): readonly LinkId[] {
    return this.ids.filter(id => this.links.get(id)?.isOpen === true)
  }

  /** Open links to sources that want to know what this host has. */
  get confirmed (): readonly LinkId[] {
    return this.open.filter(id => this.links.get(id)?.isConfirmed === true)
  }

  has (id: LinkId): boolean {
    return this.links.has(id)
  }

  dialing (id: LinkId, now: Instant): SourceLinks {
    return this.with(id, { since: now, isOpen: false, heardAt: undefined, partAt: undefined, hasTables: undefined, lateMs: Infinity, ownLateMs: Infinity, unansweredSince: undefined, isConfirmed: false })
  }

  opened (id: LinkId, now: Instant): SourceLinks {
    return this.change(id, { isOpen: true, since: now })
  }

  welcomeReceived (id: LinkId, hasTables: boolean, now: Instant): SourceLinks {
    return this.change(id, { heardAt: now, hasTables, unansweredSince: undefined })
  }

  /** A message that the source answers with a welcome was sent. */
  messageSent (id: LinkId, age: Instant): SourceLinks {
    return this.change(id, { unansweredSince: this.unansweredSince(id) ?? age })
  }

  unansweredSince (id: LinkId): Instant | undefined {
    return this.links.get(id)?.unansweredSince
  }

  heard (id: LinkId, now: Instant): SourceLinks {
    return this.change(id, { heardAt: now })
  }

  /** A part of a message shows that the source is there, and nothing about what it has. */
  partReceived (id: LinkId, now: Instant): SourceLinks {
    return this.change(id, { partAt: now })
  }

  /** Rows that are to be confirmed arrived. */
  confirmationRequested (id: LinkId): SourceLinks {
    return this.change(id, { isConfirmed: true })
  }

  beat (id: LinkId, lateness: Pick<Link, 'lateMs' | 'ownLateMs'>, hasTables: boolean, now: Instant): SourceLinks {
    return this.change(id, { ...lateness, heardAt: now, hasTables })
  }

  without (id: LinkId): SourceLinks {
    return new SourceLinks(new Map([...this.links].filter(([other]) => other !== id)), this.excludedAt)
  }

  /** The link failed; its host is excluded for a while. */
  lost (id: LinkId, now: Instant): SourceLinks {
    const kept = [...this.excludedAt].filter(([, at]) => now - at < EXCLUSION_MS)
    return new SourceLinks(this.without(id).links, new Map([...kept, [id, now]]))
  }

  /** Whether the link failed within the last `forMs` milliseconds. */
  isExcluded (id: LinkId, now: Instant, forMs = EXCLUSION_MS): boolean {
    return now - (this.excludedAt.get(id) ?? -Infinity) < forMs
  }

  /** Whether the source isn't silent and the store's answers reach it in time. */
  isCurrent (id: LinkId, { silenceTimeoutMs, answerMs }: SyncTimings, now: Instant): boolean {
    const link = this.links.get(id)
    return link?.heardAt !== undefined && now - link.heardAt <= silenceTimeoutMs && link.lateMs <= answerMs
  }

  /**
   * The least lateness among the sources, in milliseconds. Only their own lateness counts, since two hosts that follow only each other would
   * otherwise take each other's data for current.
   */
  latenessMs (now: Instant): number {
    return Math.min(Infinity, ...[...this.links.values()].map(({ heardAt, ownLateMs }) => heardAt === undefined ? Infinity : ownLateMs + now - heardAt))
  }

  /** Whether a source may soon send the tables: its link is opening, or it has them. */
  isExpectingTables (withinMs: number, { silenceTimeoutMs }: SyncTimings, now: Instant): boolean {
    return [...this.links.values()].some(({ since, hasTables }) => hasTables === undefined ? now - since < withinMs : hasTables && now - since < silenceTimeoutMs)
  }

  /** Links to close, each with the reason: no connection, no messages, or a late store. */
  failing ({ silenceTimeoutMs, answerMs }: SyncTimings, now: Instant): ReadonlyMap<LinkId, LinkFault> {
    const excludedCount = [...this.excludedAt.keys()].filter(id => this.isExcluded(id, now)).length
    const faultOf = ({ since, isOpen, heardAt, partAt, lateMs }: Link): LinkFault | undefined => {
      // Waits a full silence timeout, since a host that many others dial at once takes a while to accept them.
      if (!isOpen) return now - since > silenceTimeoutMs ? 'unreachable' : undefined
      if (now - Math.max(heardAt ?? since, partAt ?? since) > silenceTimeoutMs) return 'silent'
      // A host that just got its first follower has only begun to query the store, and the first heartbeat may still be behind the rows.
      return Number.isFinite(lateMs) && lateMs > answerMs && now - since > silenceTimeoutMs && excludedCount < MAX_EXCLUDED ? 'late' : undefined
    }
    return new Map([...this.links].flatMap(([id, link]) => {
      const fault = faultOf(link)
      return fault === undefined ? [] : [[id, fault]]
    }))
  }

  /** Moves all times forward by the duration of a suspension of this process, so that it doesn't count as silence of the sources. */
  shiftedBy (ms: number): SourceLinks {
    const later = (at: Instant) => at + ms as Instant
    return new SourceLinks(new Map([...this.links].map(([id, link]) => [id, {
      ...link,
      since: later(link.since),
      heardAt: link.heardAt === undefined ? undefined : later(link.heardAt),
      partAt: link.partAt === undefined ? undefined : later(link.partAt)
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
