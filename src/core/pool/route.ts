/** Where the statements of one database go, and their limits. */

import type { GroupId } from '../id/group.ts'
import type { Freshness } from '../routing/freshness.ts'

export interface Route {
  readonly database: string
  readonly group: GroupId
  readonly freshness: Freshness
  /** The longest that one statement may take. */
  readonly statementTimeoutMs: number
  /** Target latency of a whole operation, in milliseconds. */
  readonly aimMs: number
  /** Index in the admission's classes; 0 for the most urgent. */
  readonly rank: number
  /** Whether this database accepts callers without a key although others need one. */
  readonly isPublic?: boolean
}
