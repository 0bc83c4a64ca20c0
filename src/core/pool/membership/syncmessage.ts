/** What hosts say to each other over a link. */

import type { HostEntry } from './hostentry.ts'
import type { Row } from './row.ts'
import type { TableName } from './tablename.ts'

/** The versions up to which a host has each table. */
type Versions = Readonly<Partial<Record<TableName, number>>>

export type SyncMessage =
  /** From the host that follows: who it is, and what it has. The first word of a link, and said again when either changes otherwise than by what it's told. */
  | { readonly kind: 'follow', readonly self: HostEntry, readonly versions: Versions }
  /** From the host that follows: it's still there. A welcome answers it too. */
  | { readonly kind: 'alive' }
  /** From the host that is followed: rows as the store gave them, all of them or what changed since what it told before. */
  | { readonly kind: 'rows', readonly table: TableName, readonly isWhole: boolean, readonly rows: readonly Row[], readonly version: number }
  /**
   * From the host that is followed, after all rows that it knows: how much longer than planned the store owes an answer to it or to one that it hears, and to
   * it alone, in milliseconds; 0 while all is well. `versions`: all rows up to them were told. `asOf`: everything that the store had at
   * these times of its own clock was told.
   */
  | { readonly kind: 'beat', readonly lateMs: number, readonly ownLateMs: number, readonly versions: Versions, readonly asOf: Versions }
  /** From the host that is followed, at once: whether it has every table, so that rows will come; and what the store's clock shows by now at most, if it knows. */
  | { readonly kind: 'welcome', readonly hasTables: boolean, readonly storeMs?: number | undefined }
