/**
 * The evidence on which a promise was checked for one attempt.
 *
 * Terms and positions are written as tokens (`term:position`), so that the
 * comparison can be repeated from the record alone.
 */

import type { ReasonName } from '../reasonname.ts'

/**
 * - `readYourWrites`: the replica's sample showed `applied` at or past the session's `token`.
 * - `age`: the same, and the replica's proven age was `ageMs`, within `limitMs`.
 * - `strict`: the primary and a second endpoint proved, after the read arrived, that no newer term had begun.
 * - `acknowledged`: a second endpoint received the write in the same term.
 * - `firstOutcome`: the idempotency key had run before, at or before `token`; nothing ran again.
 * - `led`: the read ran in a transaction that only the primary serves, so its endpoint was primary while the read ran.
 * - `held`: the endpoint's log contained `token`, which covers everything acknowledged `limitMs` before the read arrived.
 * - `committed`: the endpoint was primary when it answered the commit; its log had reached `token`.
 * - `noEffect`: a read, which has no effect whatever its outcome.
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
