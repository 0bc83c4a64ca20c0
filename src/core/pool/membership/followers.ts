/** The followers of this host, to which it sends the store's rows. */

import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import type { HostEntry } from './hostentry.ts'
import { HostRegistry } from './hostregistry.ts'
import type { RowsMessage } from './rowsmessage.ts'
import type { SyncMessage } from './syncmessage.ts'
import type { TableName } from './tablename.ts'
import type { Backlog } from './backlog.ts'
import { UpdateProgress } from './updateprogress.ts'

type Confirmation = Extract<SyncMessage, { kind: 'confirm' }>

interface Follower {
  readonly entry: HostEntry
  readonly heardAt: Instant
  /** The number of its link; undefined once that is closed. */
  readonly link: number | undefined
  /** Whether it confirms large updates; one of an earlier program version doesn't. */
  readonly isConfirming: boolean
  /** Its place among those that wait equally long. */
  readonly rank: number
  /** Empty for a table of which it was sent no large update. */
  readonly progress: ReadonlyMap<TableName, UpdateProgress>
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
  private readonly byLink: ReadonlyMap<number, Follower>

  private constructor (private readonly byHost: ReadonlyMap<HostId, Follower>) {
    this.byLink = new Map([...byHost.values()].flatMap(one => one.link === undefined ? [] : [[one.link, one]]))
    this.links = [...this.byLink.keys()]
  }

  add (link: number, entry: HostEntry, { isConfirming, rank }: Pick<Follower, 'isConfirming' | 'rank'>, now: Instant): Followers {
    return new Followers(new Map([...this.byHost, [entry.id, { entry, heardAt: now, link, isConfirming, rank, progress: new Map() }]]))
  }

  markHeard (link: number, now: Instant): Followers {
    return this.change(link, { heardAt: now })
  }

  /** A link was closed. Its host may still be alive and follow another one. */
  left (link: number): Followers {
    return this.change(link, { link: undefined, progress: new Map() })
  }

  progressOf (link: number, table: TableName): UpdateProgress {
    return progressOf(this.byLink.get(link), table)
  }

  /** Rows up to the message's version were sent to the follower; if it confirms them, they are now under way. */
  sent (link: number, { table, version, isToConfirm }: RowsMessage, now: Instant): Followers {
    const isUnderWay = isToConfirm === true && this.byLink.get(link)?.isConfirming === true
    return this.withProgress(link, table, one => isUnderWay ? one.sent(version, now) : one.caughtUp())
  }

  /** The follower has all rows of the table up to the version. */
  confirmed (link: number, { table, version, isAnswer }: Confirmation, now: Instant): Followers {
    return this.markHeard(link, now).withProgress(link, table, one => one.confirmed(version, isAnswer))
  }

  /** The follower has, or was sent, all rows that were held back. */
  caughtUp (link: number, table: TableName): Followers {
    return this.withProgress(link, table, one => one.caughtUp())
  }

  /** A change of the table is held back from those that confirm it if it's large, and from those that wait for rows before it. */
  heldBack (table: TableName, isLarge: boolean, backlog: Backlog): Followers {
    return new Followers(new Map([...this.byHost].map(([id, one]) => {
      const progress = progressOf(one, table)
      const isHeld = one.link !== undefined && (progress.backlog !== undefined || (isLarge && one.isConfirming))
      return [id, isHeld ? { ...one, progress: new Map([...one.progress, [table, progress.heldBack(backlog)]]) } : one]
    })))
  }

  /** The tables of which rows are held back from the follower. */
  backlogs (link: number): ReadonlyArray<readonly [TableName, Backlog]> {
    return [...this.byLink.get(link)?.progress ?? []].flatMap(([table, { backlog }]) => backlog === undefined ? [] : [[table, backlog] as const])
  }

  /** What is held back, the oldest first. */
  get waiting (): ReadonlyArray<{ readonly link: number, readonly table: TableName }> {
    const waiting = [...this.byLink].flatMap(([link, { rank }]) => this.backlogs(link).map(([table, { since }]) => ({ link, table, since, rank })))
    return waiting.sort((a, b) => a.since - b.since || a.rank - b.rank)
  }

  /** How many updates are taken to be on their way. */
  inTurn (now: Instant): number {
    return [...this.byLink.values()].flatMap(({ progress }) => [...progress.values()]).filter(one => one.isInTurn(now)).length
  }

  /** Links without a message for longer than the silence timeout. */
  silent (now: Instant): readonly number[] {
    return [...this.byLink].flatMap(([link, { heardAt }]) => now - heardAt > SILENCE_TIMEOUT_MS ? [link] : [])
  }

  /** Hosts that sent a message recently, with or without an open link, and when. */
  heard (now: Instant): ReadonlyArray<Pick<Follower, 'entry' | 'heardAt'>> {
    return [...this.byHost.values()].filter(({ heardAt }) => now - heardAt < HostRegistry.rowTtlMs)
  }

  private withProgress (link: number, table: TableName, change: (one: UpdateProgress) => UpdateProgress): Followers {
    const follower = this.byLink.get(link)
    return follower === undefined ? this : this.change(link, { progress: new Map([...follower.progress, [table, change(progressOf(follower, table))]]) })
  }

  private change (link: number, change: Partial<Follower>): Followers {
    const follower = this.byLink.get(link)
    return follower === undefined ? this : new Followers(new Map([...this.byHost, [follower.entry.id, { ...follower, ...change }]]))
  }
}

function progressOf (follower: Follower | undefined, table: TableName): UpdateProgress {
  return follower?.progress.get(table) ?? UpdateProgress.none
}
