/** Decides for one slot, as `Admission` does; so policies can be measured against each other. */

import type { Admission } from '../../src/core/admission/admission.ts'

export interface Policy {
  readonly queued: number
  /** Whether it goes on running a request whose caller has given up. */
  readonly runsLate?: boolean
  step (...args: Parameters<Admission['step']>): ReturnType<Admission['step']>
}
