/** How one endpoint answered this owner lately: how soon, and what part it failed. */

import type { Instant } from '../../id/instant.ts'

/** A failure counts for less the more time has passed since: about the time in which an endpoint that turns bad has to show it. */
const MEMORY_MS = 500
/** Times vary less than whether something fails at all, so a few of them tell enough. */
const TIMES_MEMORY_MS = 250
/** Each new answer counts at least so much, so that many at once settle on their mean, */
const LEAST_WEIGHT = 0.1
/** and at most so much, so that one failure after a pause isn't all that is known. */
const MOST_WEIGHT = 0.75
/** Without an answer for so long nothing is known any more; several owners that try one by turns each hear of it more often. */
const LATELY_MS = 2000

/**
 * Means of irregular samples: a new one weighs by the time since the last. Of an endpoint that is asked rarely each answer counts much, so that a
 * few show that it's well again, and the mean is still right for one that fails now and then. Changes in place: each answer touches it.
 */
export class Answers {
  private meanMs: number | undefined
  private meanPaceMs: number | undefined
  private doneAt = -Infinity
  private failedPart = 0
  private heardAt = -Infinity

  private constructor () {}

  static create (): Answers {
    return new Answers()
  }

  /**
   * A statement was done. `ms`: from sending to the answer; `crowd`: how many statements came on each place there as it was sent, 1 at least. Both
   * together tell how long the endpoint takes for one, the way there and back with it, although it may have waited there.
   */
  done (ms: number, crowd: number, now: Instant): void {
    const weight = weightOf(now - this.doneAt, TIMES_MEMORY_MS)
    const paceMs = ms / Math.max(1, crowd)
    this.meanMs = mix(this.meanMs ?? ms, ms, weight)
    this.meanPaceMs = mix(this.meanPaceMs ?? paceMs, paceMs, weight)
    this.doneAt = now
    this.count(0, now)
  }

  /** A statement failed there, or ended without an answer. */
  failed (now: Instant): void {
    this.count(1, now)
  }

  /** The mean time from sending to the answer, in milliseconds; undefined when none came lately. */
  answerMs (now: Instant): number | undefined {
    return now - this.doneAt > LATELY_MS ? undefined : this.meanMs
  }

  /** How long one statement takes that finds a free place, the way there and back with it, in milliseconds; undefined when none was answered lately. */
  paceMs (now: Instant): number | undefined {
    return now - this.doneAt > LATELY_MS ? undefined : this.meanPaceMs
  }

  /** The part of what was asked lately that failed or ended without an answer; from 0 to 1, and 0 when nothing was asked. */
  failing (now: Instant): number {
    return this.isHeard(now) ? this.failedPart : 0
  }

  /** Whether anything was answered lately, or failed. */
  isHeard (now: Instant): boolean {
    return now - this.heardAt <= LATELY_MS
  }

  private count (isFailed: 0 | 1, now: Instant): void {
    this.failedPart = mix(this.failedPart, isFailed, weightOf(now - this.heardAt, MEMORY_MS))
    this.heardAt = now
  }
}

function weightOf (sinceMs: number, memoryMs: number): number {
  return Math.min(MOST_WEIGHT, Math.max(LEAST_WEIGHT, 1 - Math.exp(-sinceMs / memoryMs)))
}

function mix (before: number, sample: number, weight: number): number {
  return before + (sample - before) * weight
}
