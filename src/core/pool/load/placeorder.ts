/** A request for a place at an endpoint. */

import type { CallerId } from '../../id/caller.ts'
import type { Instant } from '../../id/instant.ts'

export interface PlaceOrder {
  /** Unique among those that wait or hold a place. */
  readonly id: number
  /** Index in `classes`: 0 for the most urgent. */
  readonly rank: number
  /** The team, or the database where no key is needed: the unit of fair sharing. */
  readonly caller: CallerId
  readonly deadline: Instant
  /** Until when it should preferably start; undefined if any time before the deadline is as good. */
  readonly aim?: Instant | undefined
  /** `next`: a further statement of a transaction that has begun; `first`: any other statement; `opening`: a new connection. */
  readonly what: 'next' | 'first' | 'opening'
}
