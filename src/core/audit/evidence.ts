/**
 * The promise that was checked for an attempt, and on what evidence.
 *
 * Terms and positions are written as tokens (`term:position`), so that a
 * reader of the record can repeat the comparison without the process that
 * made it.
 */

import type { ReasonName } from '../reasonname.ts'

/**
 * - `readYourWrites`: a replica whose sample showed `applied` at or past the session's `token`.
 * - `age`: the same, and a proven age of `ageMs` within `limitMs`.
 * - `strict`: the primary and a second endpoint proved, after the read arrived, that no newer term had begun.
 * - `acknowledged`: a second endpoint received the write in its own term.
 * - `firstOutcome`: the idempotency key had run before, at or before `token`; nothing ran again.
 * - `led`: the read ran inside of a transaction that only the primary serves, so it led while the read ran.
 * - `held`: the endpoint's log held `token`, which covers all that was acknowledged `limitMs` before the read arrived.
 * - `committed`: the primary, while it led, answered the commit; its log reached `token` then.
 * - `noEffect`: a read, which keeps nothing whatever became of it.
 * - `notRun`: the typed refusal that proves that nothing ran.
 */
export type Evidence =
  | { readonly promise: 'readYourWrites', readonly token: string, readonly applied: string }
  | { readonly promise: 'age', readonly token: string, readonly applied: string, readonly ageMs: number, readonly limitMs: number }
  | { readonly promise: 'strict' }
  | { readonly promise: 'acknowledged', readonly token: string }
  | { readonly promise: 'firstOutcome', readonly token: string }
  | { readonly promise: 'led' }
  | { readonly promise: 'held', readonly token: string, readonly limitMs: number }
  | { readonly promise: 'committed', readonly token: string }
  | { readonly promise: 'noEffect' }
  | { readonly promise: 'notRun', readonly reason: ReasonName }
