/** What the control of a host wants done. */

import type { LinkId } from './linkid.ts'
import type { Row } from './row.ts'
import type { TableName } from './tablename.ts'
import type { SyncMessage } from './syncmessage.ts'

export type SyncAction =
  /** Rows of a table changed; `isFirst`: the table wasn't known before. */
  | { readonly kind: 'news', readonly table: TableName, readonly rows: readonly Row[], readonly isFirst: boolean }
  /** The hosts that are alive changed. */
  | { readonly kind: 'hosts' }
  /** Ask the store: for all rows, or for what changes after a version, held open for the time. `why` is for the counters. */
  | { readonly kind: 'ask', readonly table: TableName, readonly after: number | undefined, readonly waitMs: number, readonly why: 'start' | 'reader' | 'alone' }
  /** Write this host's row of the roll, and erase those of writers that are long gone. */
  | { readonly kind: 'write', readonly value: string, readonly deletedKeys: readonly string[] }
  /** Keep the copy of the configuration: its rows, and the version that they are as new as. */
  | { readonly kind: 'copy', readonly rows: readonly Row[], readonly version: number }
  | { readonly kind: 'open', readonly link: LinkId }
  /** `why`: for the log. */
  | { readonly kind: 'close', readonly link: LinkId, readonly why: 'unreachable' | 'silent' | 'late' | 'others' }
  /** To a host that this one hears from. */
  | { readonly kind: 'say', readonly link: LinkId, readonly message: Extract<SyncMessage, { kind: 'follow' | 'alive' }> }
  /** To a host that follows this one. */
  | { readonly kind: 'tell', readonly link: number, readonly message: Extract<SyncMessage, { kind: 'rows' | 'beat' | 'welcome' }> }
  /** A host that follows says nothing any more. */
  | { readonly kind: 'drop', readonly link: number }
