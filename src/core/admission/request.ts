/** What admission knows of one request. */

import type { CallerId } from '../id/caller.ts'
import type { Instant } from '../id/instant.ts'

export interface AdmissionRequest {
  /** Unique among the requests of a slot that wait or run. */
  readonly id: number
  /** Index in `classes`: 0 for the most urgent. */
  readonly rank: number
  readonly caller: CallerId
  readonly deadline: Instant
  /** Until when it's best started: its caller gets most of what the answer is worth then, and less later. Undefined where all of its time is as good. */
  readonly aim?: Instant | undefined
  /** Whether it begins a transaction, and so keeps its connection from statement to statement. */
  readonly isTransaction: boolean
}
