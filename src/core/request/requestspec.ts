/** What a frontend knows of a request before its first attempt. */

import type { Instant } from '../id/instant.ts'

export interface RequestSpec {
  /** Has no side effect, so that running it again does no harm. */
  readonly isRead: boolean
  /** Carries an idempotency key, so that running it again has no second effect. */
  readonly hasIdempotencyKey: boolean
  /** Its place in a transaction: outside of one, its BEGIN, a statement of it, or its COMMIT. */
  readonly place: 'alone' | 'begin' | 'inside' | 'commit'
  /** May commit implicitly, as a stored procedure may, so that a lost connection doesn't prove a rollback. */
  readonly mayCommitImplicitly: boolean
  /** Waits for a promotion until its deadline, instead of being refused at once with a retry-after time. */
  readonly waitsForPrimary: boolean
  readonly deadline: Instant
}
