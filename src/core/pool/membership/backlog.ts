/** What a follower was sent of a table before rows were held back. */

import type { Instant } from '../../id/instant.ts'

export interface Backlog {
  /** It was sent all rows up to this version; undefined if the source didn't know the table. */
  readonly version: number | undefined
  /** It was sent everything that the store had at this time of the store's clock. */
  readonly asOf: number | undefined
  /** When the oldest of the rows was held back. */
  readonly since: Instant
}
