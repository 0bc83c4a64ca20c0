/** What the run of a request on a slot asks of the shell. */

import type { ReasonName } from '../reasonname.ts'
import type { Token } from '../token.ts'
import type { Counts } from './counts.ts'
import type { RunStep } from './runstep.ts'

/**
 * - `prove`: that this endpoint is the current primary; then `proved`.
 * - `obtain`: a connection, the transaction's own where it has one; then `obtained` or `unobtainable`.
 * - `send`: a statement on it; then `answered`, `found`, `refused` or `lost`.
 * - `keep`: the connection for the open transaction.
 * - `giveBack`: the connection. `clean`: it may be lent again; `reset`: only after a reset that succeeded; `close`: never.
 * - `confirm`: that a second server has the position; then `confirmed`.
 * - `done` with `isReplay`: the key had run before, and these are the first run's counts; nothing ran now.
 * - `done`, `failed`, `refuse`: the request's outcome. It's over.
 */
export type RunAction =
  | { readonly kind: 'prove' }
  | { readonly kind: 'obtain' }
  | { readonly kind: 'send', readonly step: RunStep, readonly counts: Counts }
  | { readonly kind: 'keep' }
  | { readonly kind: 'giveBack', readonly how: 'clean' | 'reset' | 'close' }
  | { readonly kind: 'confirm', readonly token: Token }
  | { readonly kind: 'done', readonly counts: Counts, readonly token: Token | undefined, readonly isOpen: boolean, readonly isReplay?: boolean }
  | { readonly kind: 'failed', readonly code: number, readonly message: string }
  | { readonly kind: 'refuse', readonly reason: ReasonName, readonly detail: string }
