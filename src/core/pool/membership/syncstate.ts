/** All that the control of a host remembers. */

import type { Instant } from '../../id/instant.ts'
import type { Followers } from './followers.ts'
import type { HostEntry } from './hostentry.ts'
import type { LinkId } from './linkid.ts'
import type { SourceLinks } from './sourcelinks.ts'
import type { SyncTimings } from './synctimings.ts'
import type { StoreQuery } from './storequery.ts'
import type { ReaderRanking } from './readerranking.ts'
import type { HostRegistry } from './hostregistry.ts'
import type { Staleness } from './staleness.ts'
import type { ReplicatedTable } from './replicatedtable.ts'
import type { TableName } from './tablename.ts'

export interface SyncState {
  readonly pace: SyncTimings
  /** Hosts that the settings name, for the time in which no other is known. */
  readonly seeds: readonly LinkId[]
  /** Whether the settings name this one. */
  readonly isSeed: boolean
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean
  readonly self: HostEntry
  readonly startedAt: Instant
  readonly tickedAt: Instant
  readonly tables: Readonly<Record<TableName, ReplicatedTable>>
  readonly questions: Readonly<Record<TableName, StoreQuery>>
  /** How old what is known of the tables may be. */
  readonly staleness: Staleness
  readonly links: SourceLinks
  readonly followers: Followers
  readonly roll: HostRegistry
  readonly ranking: ReaderRanking
  readonly rankedAt: Instant
  /** When a host that hears from the store last said so, of this data centre, and of any; at first when this one started. */
  readonly localSourceAt: Instant
  readonly sourceAt: Instant
  /** When this host last spoke to those that follow it, and to those that it follows. */
  readonly heartbeatAt: Instant
  readonly keepaliveAt: Instant
  /** This host's own row of the roll: as it was written last, empty when it isn't known what the store has; when; and when another may be at the soonest. */
  readonly row: { readonly value: string, readonly at: Instant, readonly notBefore: Instant, readonly isPending: boolean }
  /** When the copy of the configuration may be written next. */
  readonly copy: { readonly notBefore: Instant, readonly isPending: boolean }
  /** Hosts that have something newer, and until when they are followed for it. */
  readonly consultedUntil: ReadonlyMap<LinkId, Instant>
}
