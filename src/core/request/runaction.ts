/** Actions that the run of a request on a slot asks of the shell. */

import type { ReasonName } from '../reasonname.ts'
import type { Token } from '../token.ts'
import type { Counts } from './counts.ts'
import type { RunStep } from './runstep.ts'

/**
 * - `prove`: prove that this endpoint is the current primary; then `proved`.
 * - `obtain`: get a connection, the transaction's own if it has one; then `obtained` or `unobtainable`.
 * - `send`: send a statement on it; then `answered`, `found`, `refused` or `lost`.
 * - `keep`: keep the connection for the open transaction.
 * - `giveBack`: return the connection. `clean`: it may be reused; `reset`: only after a successful reset; `close`: never.
 * - `confirm`: have a second server confirm the position; then `confirmed`.
 * - `done` with `isReplay`: the key had run before, and these are the first run's counts; nothing ran now.
 * - `done`, `failed`, `refuse`: the request's outcome, which ends it.
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
