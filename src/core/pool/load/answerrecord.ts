/** How one endpoint answered this host lately. */

import type { Instant } from '../../id/instant.ts'

/** How much of the means one answer moves. */
const WEIGHT = 1 / 16
/** Without an answer for so long nothing is known. Milliseconds. */
const LATELY_MS = 3000

/** Immutable. */
export class AnswerRecord {
  static readonly empty = new AnswerRecord(undefined, 0, -Infinity as Instant)

  private constructor (private readonly ms: number | undefined, private readonly failed: number, private readonly lastAt: Instant) {}

  /** `failure`: 1 for what the endpoint failed or didn't answer, 0 otherwise. */
  with (ms: number, failure: 0 | 1, now: Instant): AnswerRecord {
    const before = this.isKnown(now) ? this : AnswerRecord.empty
    const mean = before.ms === undefined ? ms : before.ms + (ms - before.ms) * WEIGHT
    return new AnswerRecord(mean, before.failed + (failure - before.failed) * WEIGHT, now)
  }

  /** The mean time from sending to the answer, in milliseconds; undefined when none came lately. */
  answerMs (now: Instant): number | undefined {
    return this.isKnown(now) ? this.ms : undefined
  }

  /** The part that failed, from 0 to 1. */
  failing (now: Instant): number {
    return this.isKnown(now) ? this.failed : 0
  }

  private isKnown (now: Instant): boolean {
    return now - this.lastAt <= LATELY_MS
  }
}
