/** How one endpoint answered this owner lately: how soon, and what part it failed. */

import type { Instant } from '../../id/instant.ts'

/** A failure counts for less the more time has passed since: about the time in which an endpoint that turns bad has to show it. */
const FAILURE_TIME_CONSTANT_MS = 500
/** Times vary less than whether something fails at all, so a few of them tell enough. */
const LATENCY_TIME_CONSTANT_MS = 250
/** Each new answer counts at least so much, so that many at once settle on their mean, */
const MIN_WEIGHT = 0.1
/** and at most so much, so that one failure after a pause isn't all that is known. */
const MAX_WEIGHT = 0.75
/** Without an answer for so long nothing is known any more; several owners that try one by turns each hear of it more often. */
const EXPIRY_MS = 2000

/**
 * Means of irregular samples: a new one weighs by the time since the last. Of an endpoint that is asked rarely each answer counts much, so that a
 * few show that it's well again, and the mean is still right for one that fails now and then. Changes in place: each answer touches it.
 */
export class ResponseStats {
  private meanMs: number | undefined
  private meanServiceTimeMs: number | undefined
  private doneAt = -Infinity
  private failureRate = 0
  private sampledAt = -Infinity

  private constructor () {}

  static create (): ResponseStats {
    return new ResponseStats()
  }

  /**
   * A statement was done. `ms`: from sending to the answer; `crowd`: how many statements came on each place there as it was sent, 1 at least. Both
   * together tell how long the endpoint takes for one, the way there and back with it, although it may have waited there.
   */
  done (ms: number, statementsPerPlace: number, now: Instant): void {
    const weight = sampleWeight(now - this.doneAt, LATENCY_TIME_CONSTANT_MS)
    const paceMs = ms / Math.max(1, statementsPerPlace)
    this.meanMs = interpolate(this.meanMs ?? ms, ms, weight)
    this.meanServiceTimeMs = interpolate(this.meanServiceTimeMs ?? paceMs, paceMs, weight)
    this.doneAt = now
    this.count(0, now)
  }

  /** A statement failed there, or ended without an answer. */
  failed (now: Instant): void {
    this.count(1, now)
  }

  /** The mean time from sending to the answer, in milliseconds; undefined when none came lately. */
  answerMs (now: Instant): number | undefined {
    return now - this.doneAt > EXPIRY_MS ? undefined : this.meanMs
  }

  /** How long one statement takes that finds a free place, the way there and back with it, in milliseconds; undefined when none was answered lately. */
  serviceTimeMs (now: Instant): number | undefined {
    return now - this.doneAt > EXPIRY_MS ? undefined : this.meanServiceTimeMs
  }

  /** The part of what was asked lately that failed or ended without an answer; from 0 to 1, and 0 when nothing was asked. */
  failing (now: Instant): number {
    return this.hasRecentSample(now) ? this.failureRate : 0
  }

  /** Whether anything was answered lately, or failed. */
  hasRecentSample (now: Instant): boolean {
    return now - this.sampledAt <= EXPIRY_MS
  }

  private count (isFailed: 0 | 1, now: Instant): void {
    this.failureRate = interpolate(this.failureRate, isFailed, sampleWeight(now - this.sampledAt, FAILURE_TIME_CONSTANT_MS))
    this.sampledAt = now
  }
}

function sampleWeight (sinceMs: number, memoryMs: number): number {
  return Math.min(MAX_WEIGHT, Math.max(MIN_WEIGHT, 1 - Math.exp(-sinceMs / memoryMs)))
}

function interpolate (before: number, sample: number, weight: number): number {
  return before + (sample - before) * weight
}
