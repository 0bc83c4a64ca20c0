/** How far an endpoint is put aside for reads, in steps with pauses between them. */

import type { Instant } from '../../id/instant.ts'
import type { assessEndpoint } from './assessendpoint.ts'

/** The part of its reads that an endpoint keeps at each step; at the last it gets single ones that show whether it's well. */
const READ_SHARES = [1, 0.5, 0.25, 0] as const
const LAST_STEP = READ_SHARES.length - 1
/** Time for the others' reports to show what the step before changed. */
const EJECTION_STEP_MS = 100
/**
 * It must be well for so long at each step. Longer than the way aside, so that neither chance nor owners who all find it well at once
 * carry it to and fro; all steps together stay well below a second.
 */
const RECOVERY_STEP_MS = 150

/** Immutable. */
export class EjectionLevel {
  /** `wellSince`: when it was last found not to be well, or last changed. */
  private constructor (private readonly step: number, private readonly changedAt: number, private readonly healthySince: number) {}

  static readonly none = new EjectionLevel(0, -Infinity, -Infinity)

  next (judgement: ReturnType<typeof assessEndpoint>, now: Instant): EjectionLevel {
    const { step, changedAt, healthySince: wellSince } = this
    if (judgement === 'bad' && step < LAST_STEP && now - changedAt >= EJECTION_STEP_MS) return new EjectionLevel(step + 1, now, now)
    if (judgement === 'well' && step > 0 && now - wellSince >= RECOVERY_STEP_MS) return new EjectionLevel(step - 1, now, now)
    return judgement === 'well' ? this : new EjectionLevel(step, changedAt, now)
  }

  /** The part of its reads that it keeps; from 0 to 1. */
  get part (): number {
    return READ_SHARES[this.step]!
  }

  get isEjected (): boolean {
    return this.step === LAST_STEP
  }
}
