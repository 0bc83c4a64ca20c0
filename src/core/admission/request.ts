/** A request as admission sees it. */

import type { CallerId } from '../id/caller.ts'
import type { Instant } from '../id/instant.ts'

export interface AdmissionRequest {
  /** Unique among the waiting and running requests of a slot. */
  readonly id: number
  /** Index in `classes`: 0 for the most urgent. */
  readonly rank: number
  readonly caller: CallerId
  readonly deadline: Instant
  /** Soft deadline: an answer is worth most when the request starts by then. Undefined if any time before the deadline is as good. */
  readonly aim?: Instant | undefined
  /** Whether it begins a transaction, which pins its connection from statement to statement. */
  readonly isTransaction: boolean
}
