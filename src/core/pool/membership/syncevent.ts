/** What can happen to the control of a host. */

import type { Instant } from '../../id/instant.ts'
import type { LinkId } from './linkid.ts'
import type { Row } from './row.ts'
import type { TableName } from './tablename.ts'
import type { SyncMessage } from './syncmessage.ts'

type MessageOf<K extends SyncMessage['kind']> = Extract<SyncMessage, { kind: K }>

export type SyncEvent =
  | { readonly kind: 'tick' }
  /**
   * The store answered: all rows, or what changed since the version that was asked for. `askedAt`: when it was asked, on the clock that counts
   * suspension; `storeMs`: what the store's own clock showed when it answered.
   */
  | { readonly kind: 'answered', readonly table: TableName, readonly isWhole: boolean, readonly rows: readonly Row[], readonly version: number, readonly sentAt: Instant, readonly storeMs: number }
  /** The store doesn't know any more what changed. */
  | { readonly kind: 'forgotten', readonly table: TableName }
  | { readonly kind: 'failed', readonly table: TableName }
  /** This host's row of the roll was written, or it isn't known whether it was. */
  | { readonly kind: 'written', readonly isDone: boolean }
  | { readonly kind: 'copied', readonly isDone: boolean }
  | { readonly kind: 'opened', readonly link: LinkId }
  /** A link to another host is closed, or couldn't be opened. */
  | { readonly kind: 'lost', readonly link: LinkId }
  | { readonly kind: 'told', readonly link: LinkId, readonly message: MessageOf<'rows' | 'beat' | 'welcome'> }
  /** A word of a host that follows this one. */
  | { readonly kind: 'spoke', readonly link: number, readonly message: MessageOf<'follow' | 'alive'> }
  | { readonly kind: 'left', readonly link: number }
  /** Another host has something newer than this one. */
  | { readonly kind: 'consult', readonly link: LinkId }
  /** The process ends soon. */
  | { readonly kind: 'leave' }
