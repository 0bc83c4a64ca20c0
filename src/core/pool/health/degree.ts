/** How far an endpoint is put aside for reads, in steps with pauses between them. */

import type { Instant } from '../../id/instant.ts'
import type { judge } from './judgement.ts'

/** The part of its reads that an endpoint keeps at each step; at the last it gets single ones that show whether it's well. */
const PARTS = [1, 0.5, 0.25, 0] as const
const LAST = PARTS.length - 1
/** Time for the others' reports to show what the step before changed. */
const WORSE_MS = 100
/**
 * It must be well for so long at each step. Longer than the way aside, so that neither chance nor owners who all find it well at once
 * carry it to and fro; all steps together stay well below a second.
 */
const BETTER_MS = 150

/** Immutable. */
export class Degree {
  /** `wellSince`: when it was last found not to be well, or last changed. */
  private constructor (private readonly step: number, private readonly changedAt: number, private readonly wellSince: number) {}

  static readonly none = new Degree(0, -Infinity, -Infinity)

  judged (judgement: ReturnType<typeof judge>, now: Instant): Degree {
    const { step, changedAt, wellSince } = this
    if (judgement === 'bad' && step < LAST && now - changedAt >= WORSE_MS) return new Degree(step + 1, now, now)
    if (judgement === 'well' && step > 0 && now - wellSince >= BETTER_MS) return new Degree(step - 1, now, now)
    return judgement === 'well' ? this : new Degree(step, changedAt, now)
  }

  /** The part of its reads that it keeps; from 0 to 1. */
  get part (): number {
    return PARTS[this.step]!
  }

  get isAside (): boolean {
    return this.step === LAST
  }
}
