/** How far an endpoint is put aside for reads, in steps with pauses between them. */

import type { Instant } from '../../id/instant.ts'
import type { judge } from './judgement.ts'

/** The part of its reads that an endpoint keeps at each step; at the last it gets single ones that show whether it's well. */
const PARTS = [1, 0.5, 0.25, 0] as const
const LAST = PARTS.length - 1
/** Time for the others' reports to show what the step before changed. */
const WORSE_MS = 100
/** Slower back than aside, so that owners who all find it well don't all send their reads at once; all steps together stay well below a second. */
const BETTER_MS = 200

/** Immutable. */
export class Degree {
  private constructor (private readonly step: number, private readonly changedAt: number) {}

  static readonly none = new Degree(0, -Infinity)

  judged (judgement: ReturnType<typeof judge>, now: Instant): Degree {
    const sinceMs = now - this.changedAt
    if (judgement === 'bad' && this.step < LAST && sinceMs >= WORSE_MS) return new Degree(this.step + 1, now)
    if (judgement === 'well' && this.step > 0 && sinceMs >= BETTER_MS) return new Degree(this.step - 1, now)
    return this
  }

  /** The part of its reads that it keeps; from 0 to 1. */
  get part (): number {
    return PARTS[this.step]!
  }

  get isAside (): boolean {
    return this.step === LAST
  }
}
