/** What can happen to the run of a request on a slot. */

import type { ReasonName } from '../reasonname.ts'
import type { Token } from '../token.ts'
import type { Counts } from './counts.ts'

/**
 * - `start`: the request arrived.
 * - `proved`: the proof that the endpoint is the current primary came out.
 * - `obtained`: a connection that nobody else uses is there.
 * - `unobtainable`: there is none and will be none.
 * - `answered`: the endpoint answered the last statement; `token` says where its write went into the log.
 * - `found`: the answer to `lookup`.
 * - `refused`: the endpoint answered the last statement with an error.
 * - `lost`: the connection broke before the answer to the last statement.
 * - `confirmed`: whether a second server has the position that was asked for.
 * - `deadline`: the request's time is over.
 * - `cancelled`: the asker gave the request up, or is gone; nobody takes an answer.
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
    /** The server's status says that a transaction is open. */
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
  /** Whose row it is: of the same statement, of another one, or of nothing since the key was settled as not run. */
  readonly claim: 'same' | 'other' | 'void'
  readonly counts: Counts
}
