/** Messages that hosts send to each other over a link. */

import type { HostEntry } from './hostentry.ts'
import type { Row } from './row.ts'
import type { TableName } from './tablename.ts'

/** A version or time for each table that is known. */
type Versions = Readonly<Partial<Record<TableName, number>>>

export type SyncMessage =
  /**
   * From a follower: its own entry and the versions that it has. The first message on a link; sent again when its entry changes.
   * `isConfirming`: it confirms rows that are marked; absent from a host of an earlier program version.
   */
  | { readonly kind: 'follow', readonly self: HostEntry, readonly versions: Versions, readonly isConfirming?: boolean | undefined }
  /** From a follower: a keepalive, which the source answers with a welcome. */
  | { readonly kind: 'alive' }
  /**
   * From a follower: it has all rows of the table up to the version. `isAnswer`: marked rows of this source arrived; otherwise rows of another one.
   * Sent to sources that mark rows to be confirmed; others are of an earlier program version and would close the link.
   */
  | { readonly kind: 'confirm', readonly table: TableName, readonly version: number, readonly isAnswer: boolean }
  /**
   * From a source: rows of the store, either all of them (`isWhole`) or the changes since its last message for the table. `isToConfirm`: the
   * source sends this follower no further large update of the table before it has confirmed this one.
   */
  | { readonly kind: 'rows', readonly table: TableName, readonly isWhole: boolean, readonly rows: readonly Row[], readonly version: number, readonly isToConfirm?: boolean | undefined }
  /**
   * From a source: a heartbeat, sent after all rows that it knows. `lateMs`: by how many milliseconds the store's answer is overdue at the source
   * or at one of its own sources, 0 normally; `ownLateMs`: at the source alone. All rows up to `versions` were sent to this follower, and
   * everything that the store had at the times `asOf` of its clock.
   */
  | { readonly kind: 'beat', readonly lateMs: number, readonly ownLateMs: number, readonly versions: Versions, readonly asOf: Versions }
  /** From a source, at once: whether it has every table, so that rows will follow, and an upper bound for the store's clock if it knows one. */
  | { readonly kind: 'welcome', readonly hasTables: boolean, readonly storeMs?: number | undefined }
