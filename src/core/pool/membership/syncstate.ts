/** State of the table sync of a host. */

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
import type { RowsMessage } from './rowsmessage.ts'
import type { TableName } from './tablename.ts'

export interface SyncState {
  readonly pace: SyncTimings
  /** Hosts named in the settings, used while no other host is known. */
  readonly seeds: readonly LinkId[]
  /** Whether the settings name this host. */
  readonly isSeed: boolean
  /** Whether the whole system is starting for the first time. */
  readonly isFirstStart: boolean
  readonly self: HostEntry
  readonly startedAt: Instant
  readonly tickedAt: Instant
  readonly tables: Readonly<Record<TableName, ReplicatedTable>>
  readonly queries: Readonly<Record<TableName, StoreQuery>>
  /** Upper bounds for the age of each table. */
  readonly staleness: Staleness
  readonly links: SourceLinks
  readonly followers: Followers
  /** The last large update of each table, kept since an equal one for another follower needn't be encoded again. */
  readonly updates: Readonly<Partial<Record<TableName, RowsMessage>>>
  readonly roll: HostRegistry
  readonly ranking: ReaderRanking
  readonly rankedAt: Instant
  /** When a current source of this data centre last sent a heartbeat; initially when this host started. */
  readonly localSourceAt: Instant
  /** The same for a source of any data centre. */
  readonly sourceAt: Instant
  /** When this host last sent a heartbeat to its followers. */
  readonly heartbeatAt: Instant
  /** When this host last sent a keepalive to its sources. */
  readonly keepaliveAt: Instant
  /** This host's registry row: its last written value, empty when the stored one isn't known; when it was written; the earliest next write; whether a write is in progress. */
  readonly row: { readonly value: string, readonly at: Instant, readonly notBefore: Instant, readonly isPending: boolean }
  /** The earliest next write of the configuration's copy, and whether one is in progress. */
  readonly copy: { readonly notBefore: Instant, readonly isPending: boolean }
  /** Hosts that have newer rows, and until when this host follows them. */
  readonly consultedUntil: ReadonlyMap<LinkId, Instant>
}
