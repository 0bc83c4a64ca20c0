/** Events of the run of a request on a slot. */

import type { ReasonName } from '../reasonname.ts'
import type { Token } from '../token.ts'
import type { Counts } from './counts.ts'

/**
 * - `start`: the request arrived.
 * - `proved`: whether the endpoint was proved to be the current primary.
 * - `obtained`: a connection that nobody else uses is available.
 * - `unobtainable`: there is no connection and there will be none.
 * - `answered`: the endpoint answered the last statement; `token` is the log position of its write.
 * - `found`: the answer to `lookup`.
 * - `refused`: the endpoint answered the last statement with an error.
 * - `lost`: the connection broke before the last statement was answered.
 * - `confirmed`: whether a second server has the position that was asked for.
 * - `deadline`: the request's deadline has passed.
 * - `cancelled`: the requester cancelled the request or disconnected; nobody expects an answer.
 * - `released`: the request's transaction is to be rolled back.
 */
export type RunEvent =
  | { readonly kind: 'start' }
  | { readonly kind: 'proved', readonly holds: boolean }
  | { readonly kind: 'obtained' }
  | { readonly kind: 'unobtainable', readonly reason: ReasonName, readonly detail: string }
  | {
    readonly kind: 'answered'
    readonly counts: Counts
    /** Whether the server's status reports an open transaction. */
    readonly isOpen: boolean
    readonly hasRows: boolean
    readonly token: Token | undefined
  }
  | { readonly kind: 'found', readonly row: Row | undefined }
  | { readonly kind: 'refused', readonly code: number, readonly message: string }
  | { readonly kind: 'lost', readonly detail: string }
  | { readonly kind: 'confirmed', readonly holds: boolean }
  | { readonly kind: 'deadline' }
  | { readonly kind: 'cancelled' }
  | { readonly kind: 'released' }

interface Row {
  /** Who claimed the key: the same statement, another statement, or none because the key was settled as not run. */
  readonly claim: 'same' | 'other' | 'void'
  readonly counts: Counts
}
