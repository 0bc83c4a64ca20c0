/** Why a statement wasn't done, and when it may be retried. */

import type { Cause } from '../../../core/pool/statements/cause.ts'
import type { Fault } from '../../../core/statement/fault.ts'

export interface Refusal {
  readonly fault: Fault
  /** Retry delay in milliseconds; 0 if unknown. */
  readonly retryAfterMs: number
  /** The cause of the fault, for operators; undefined if the fault is specific enough. */
  readonly cause?: Cause | undefined
}
