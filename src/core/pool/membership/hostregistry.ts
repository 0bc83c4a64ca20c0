/** The live hosts, as listed in the registry rows that readers write for their followers. */

import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import type { HostEntry } from './hostentry.ts'

interface SeenRow {
  readonly entries: readonly HostEntry[]
  readonly version: number
  /** When this process first saw this version of the row. */
  readonly at: Instant
}

/** Interval at which a row is renewed; each write is a call to the store and wakes all readers. */
const RENEWAL_MS = 20_000
/** Lifetime of a row: three renewals, so that a short outage of the store removes no host. */
const ROW_TTL_MS = 3 * RENEWAL_MS
/** A row that wasn't renewed for this time no longer relieves other readers of listing its hosts. */
const OVERDUE_MS = 1.5 * RENEWAL_MS
/** Age at which an expired row may be deleted. */
const DELETION_MS = 3 * ROW_TTL_MS

/** Immutable; each row returns the next value. */
export class HostRegistry {
  static readonly renewalMs = RENEWAL_MS
  static readonly rowTtlMs = ROW_TTL_MS
  static readonly empty = new HostRegistry(new Map())

  private constructor (private readonly seen: ReadonlyMap<HostId, SeenRow>) {}

  /** Adds or replaces the row that the writer maintains. */
  with (writer: HostId, entries: readonly HostEntry[], version: number, now: Instant): HostRegistry {
    if (this.seen.get(writer)?.version === version) return this
    return new HostRegistry(new Map([...this.seen, [writer, { entries, version, at: now }]]))
  }

  without (writer: HostId): HostRegistry {
    return new HostRegistry(new Map([...this.seen].filter(([id]) => id !== writer)))
  }

  /**
   * Hosts that an unexpired row lists and that aren't leaving. Ages are counted from when this process saw a row change, so clocks of other
   * hosts don't matter.
   */
  alive (now: Instant): readonly HostEntry[] {
    return [...this.entries(now).values()].filter(({ isLeaving }) => !isLeaving)
  }

  /**
   * Whether the recently renewed row of another host already lists this entry or a newer one. Of two readers with the same follower, only the
   * one with the lower id lists it.
   */
  isListedByOther ({ id, incarnation, isLeaving }: HostEntry, reader: HostId, now: Instant): boolean {
    const covers = (one: HostEntry) => one.id === id && one.incarnation >= incarnation && (one.isLeaving || !isLeaving)
    return [...this.seen].some(([writer, { entries, at }]) => writer < reader && now - at < OVERDUE_MS && entries.some(covers))
  }

  /** Writers whose rows may be deleted. */
  expiredWriters (now: Instant): readonly HostId[] {
    return [...this.seen].filter(([, { at }]) => now - at >= DELETION_MS).map(([id]) => id)
  }

  /** The newest entry of each host in unexpired rows. */
  entries (now: Instant): ReadonlyMap<HostId, HostEntry> {
    const newest = new Map<HostId, HostEntry>()
    const unexpired = [...this.seen.values()].filter(({ at }) => now - at < ROW_TTL_MS)
    for (const entry of unexpired.flatMap(({ entries }) => entries)) {
      const other = newest.get(entry.id)
      if (other === undefined || isNewer(entry, other)) newest.set(entry.id, entry)
    }
    return newest
  }
}

/** Within an incarnation, an entry that says the host is leaving is the newest. */
function isNewer (one: HostEntry, other: HostEntry): boolean {
  return one.incarnation === other.incarnation ? one.isLeaving && !other.isLeaving : one.incarnation > other.incarnation
}
