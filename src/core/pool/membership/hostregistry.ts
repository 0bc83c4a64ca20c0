/** The hosts that are alive, as the rows of those that hear them show. */

import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import type { HostEntry } from './hostentry.ts'

interface SeenRow {
  readonly entries: readonly HostEntry[]
  readonly version: number
  /** When this process first saw the row in this version. */
  readonly at: Instant
}

/** A row is written again after so long: hosts change a few times a day, and each writing is a call to the store and wakes those that follow it. Milliseconds. */
const RENEWAL_MS = 20_000
/** A row counts for three renewals, so that a store that is away for one takes nobody out. */
const ROW_TTL_MS = 3 * RENEWAL_MS
/** A row that was not renewed in time is no reason any more to leave a host out of one's own. */
const OVERDUE_MS = 1.5 * RENEWAL_MS
/** After so long nobody misses a row. */
const DELETION_MS = 3 * ROW_TTL_MS

/** Immutable; rows yield the next value. */
export class HostRegistry {
  static readonly renewalMs = RENEWAL_MS
  static readonly rowTtlMs = ROW_TTL_MS
  static readonly empty = new HostRegistry(new Map())

  private constructor (private readonly seen: ReadonlyMap<HostId, SeenRow>) {}

  /** The row of a host that hears others. */
  with (writer: HostId, entries: readonly HostEntry[], version: number, now: Instant): HostRegistry {
    if (this.seen.get(writer)?.version === version) return this
    return new HostRegistry(new Map([...this.seen, [writer, { entries, version, at: now }]]))
  }

  without (writer: HostId): HostRegistry {
    return new HostRegistry(new Map([...this.seen].filter(([id]) => id !== writer)))
  }

  /**
   * A host that died stays for as long as a row names it; ages are told from when this process
   * saw a row change, so no clock of another host counts.
   */
  alive (now: Instant): readonly HostEntry[] {
    return [...this.entries(now).values()].filter(({ isLeaving }) => !isLeaving)
  }

  /**
   * Whether another host's row says as much of the host, and will go on: of two that hear the
   * same, the one whose id comes first writes, so that one row is renewed and not two.
   */
  isListedByOther ({ id, incarnation, isLeaving }: HostEntry, reader: HostId, now: Instant): boolean {
    const says = (one: HostEntry) => one.id === id && one.incarnation >= incarnation && (one.isLeaving || !isLeaving)
    return [...this.seen].some(([writer, { entries, at }]) => writer < reader && now - at < OVERDUE_MS && entries.some(says))
  }

  /** Writers whose rows nobody needs any more. */
  expiredWriters (now: Instant): readonly HostId[] {
    return [...this.seen].filter(([, { at }]) => now - at >= DELETION_MS).map(([id]) => id)
  }

  /** The newest word on each host that a row names which counts. */
  entries (now: Instant): ReadonlyMap<HostId, HostEntry> {
    const newest = new Map<HostId, HostEntry>()
    const counting = [...this.seen.values()].filter(({ at }) => now - at < ROW_TTL_MS)
    for (const entry of counting.flatMap(({ entries }) => entries)) {
      const other = newest.get(entry.id)
      if (other === undefined || isNewer(entry, other)) newest.set(entry.id, entry)
    }
    return newest
  }
}

/** Of one life the word that it leaves is the last. */
function isNewer (one: HostEntry, other: HostEntry): boolean {
  return one.incarnation === other.incarnation ? one.isLeaving && !other.isLeaving : one.incarnation > other.incarnation
}
