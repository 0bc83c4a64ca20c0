/** A statement that wasn't done: why, and when a new try may do better. */

import type { Cause } from '../../../core/pool/statements/cause.ts'
import type { Fault } from '../../../core/statement/fault.ts'

export interface Refusal {
  readonly fault: Fault
  /** Milliseconds; 0 when nothing is known. */
  readonly retryAfterMs: number
  /** What lies behind the fault, for operators; undefined where the fault says it all. */
  readonly cause?: Cause | undefined
}
