/** How the statements of one database are treated. */

import type { GroupId } from '../id/group.ts'
import type { Freshness } from '../routing/freshness.ts'

export interface Route {
  readonly database: string
  readonly group: GroupId
  readonly freshness: Freshness
  /** The longest that one statement may take, in milliseconds. */
  readonly statementTimeoutMs: number
  /** The time within which a whole operation is meant to be done, in milliseconds. */
  readonly aimMs: number
  /** Index in the admission's classes: 0 for the most urgent. */
  readonly rank: number
  /** Whether callers need no key, where others do. */
  readonly isPublic?: boolean
}
