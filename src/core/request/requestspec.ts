/** What a frontend knows of a request before its first attempt. */

import type { Instant } from '../id/instant.ts'

export interface RequestSpec {
  /** Has no effect, so that running it again does no harm. */
  readonly isRead: boolean
  /** Carries an idempotency key, so that running it again has no second effect. */
  readonly hasIdempotencyKey: boolean
  /** Where it stands in its transaction: outside, its BEGIN, a statement of it, or its COMMIT. */
  readonly place: 'alone' | 'begin' | 'inside' | 'commit'
  /** Commits by itself (a stored procedure may), so that a lost connection proves no rollback. */
  readonly mayCommitImplicitly: boolean
  /** Waits for a promotion up to its deadline, in place of an answer at once that says when to come back. */
  readonly waitsForPrimary: boolean
  readonly deadline: Instant
}
