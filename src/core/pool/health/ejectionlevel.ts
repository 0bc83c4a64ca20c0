/** How far an endpoint is ejected from serving reads, in steps. */

import type { Instant } from '../../id/instant.ts'
import type { assessEndpoint } from './assessendpoint.ts'

/** The fraction of its reads that an endpoint keeps at each step; at the last one it gets only single trial reads. */
const READ_SHARES = [1, 0.5, 0.25, 0] as const
const LAST_STEP = READ_SHARES.length - 1
/** Lets the other owners' reports show the effect of the previous step. */
const EJECTION_STEP_MS = 100
/**
 * The endpoint must be well for this long at each step. Longer than `EJECTION_STEP_MS`, so that neither chance nor owners that all see it recover at once
 * make it oscillate.
 */
const RECOVERY_STEP_MS = 150

/** Immutable. */
export class EjectionLevel {
  /** `healthySince`: the last time it wasn't found well, or its step changed. */
  private constructor (private readonly step: number, private readonly changedAt: number, private readonly healthySince: number) {}

  static readonly none = new EjectionLevel(0, -Infinity, -Infinity)

  next (assessment: ReturnType<typeof assessEndpoint>, now: Instant): EjectionLevel {
    const { step, changedAt, healthySince } = this
    if (assessment === 'bad' && step < LAST_STEP && now - changedAt >= EJECTION_STEP_MS) return new EjectionLevel(step + 1, now, now)
    if (assessment === 'well' && step > 0 && now - healthySince >= RECOVERY_STEP_MS) return new EjectionLevel(step - 1, now, now)
    return assessment === 'well' ? this : new EjectionLevel(step, changedAt, now)
  }

  /** The fraction of its reads that it keeps, from 0 to 1. */
  get part (): number {
    return READ_SHARES[this.step]!
  }

  get isEjected (): boolean {
    return this.step === LAST_STEP
  }
}
