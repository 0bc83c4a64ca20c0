/** Actions that the table sync asks its host to carry out. */

import type { LinkId } from './linkid.ts'
import type { Row } from './row.ts'
import type { TableName } from './tablename.ts'
import type { SyncMessage } from './syncmessage.ts'

export type SyncAction =
  /** Rows of a table changed, including deleted ones. `isFirst`: the table wasn't known before. */
  | { readonly kind: 'news', readonly table: TableName, readonly rows: readonly Row[], readonly isFirst: boolean }
  /** The set of live hosts changed. */
  | { readonly kind: 'hosts' }
  /** Query the store for all rows, or for the changes after a version as a long poll of up to `waitMs`. `why`: label of the metrics. */
  | { readonly kind: 'ask', readonly table: TableName, readonly after: number | undefined, readonly waitMs: number, readonly why: 'start' | 'reader' | 'alone' }
  /** Write this host's row of the host registry and delete the expired rows of other hosts. */
  | { readonly kind: 'write', readonly value: string, readonly deletedKeys: readonly string[] }
  /** Write the copy of the configuration: its rows and the version up to which they are current. */
  | { readonly kind: 'copy', readonly rows: readonly Row[], readonly version: number }
  | { readonly kind: 'open', readonly link: LinkId }
  /** `why`: for the log; `others` when the link isn't needed any more. */
  | { readonly kind: 'close', readonly link: LinkId, readonly why: 'unreachable' | 'silent' | 'late' | 'others' }
  /** Send a message to a source. */
  | { readonly kind: 'say', readonly link: LinkId, readonly message: Extract<SyncMessage, { kind: 'follow' | 'alive' | 'confirm' }> }
  /** Send a message to a follower. */
  | { readonly kind: 'tell', readonly link: number, readonly message: Extract<SyncMessage, { kind: 'rows' | 'beat' | 'welcome' }> }
  /** Close the link of a follower that is silent. */
  | { readonly kind: 'drop', readonly link: number }
