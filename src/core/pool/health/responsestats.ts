/** How one endpoint answered this owner lately: response times and failure rate. */

import type { Instant } from '../../id/instant.ts'

/** Time constant of the failure rate: about the time within which an endpoint that turns bad has to show it. */
const FAILURE_TIME_CONSTANT_MS = 500
/** Response times vary less than failures, so fewer samples are enough. */
const LATENCY_TIME_CONSTANT_MS = 250
/** Lower bound of a sample's weight, so that many samples at once settle on their mean. */
const MIN_WEIGHT = 0.1
/** Upper bound of a sample's weight, so that one failure after a pause isn't all that is known. */
const MAX_WEIGHT = 0.75
/** Without an answer for this long nothing is known; several owners that send trial reads in turn hear from an endpoint more often. */
const EXPIRY_MS = 2000

/**
 * Exponentially weighted means of irregular samples: the weight of a sample grows with the time since the previous one. At an endpoint that is rarely
 * asked a few samples show that it has recovered, and the mean is still right for one that fails now and then. Changes in place, with each answer.
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
   * A statement was answered. `ms`: from sending to the answer; `statementsPerPlace`: statements at the endpoint for each of its places when this one was
   * sent, at least 1. Dividing by it yields the service time including the round trip, although the statement may have queued there.
   */
  done (ms: number, statementsPerPlace: number, now: Instant): void {
    const weight = sampleWeight(now - this.doneAt, LATENCY_TIME_CONSTANT_MS)
    const serviceTimeMs = ms / Math.max(1, statementsPerPlace)
    this.meanMs = interpolate(this.meanMs ?? ms, ms, weight)
    this.meanServiceTimeMs = interpolate(this.meanServiceTimeMs ?? serviceTimeMs, serviceTimeMs, weight)
    this.doneAt = now
    this.count(0, now)
  }

  /** A statement failed there, or ended without an answer. */
  failed (now: Instant): void {
    this.count(1, now)
  }

  /** Mean time from sending to the answer, in milliseconds; undefined if none came lately. */
  answerMs (now: Instant): number | undefined {
    return now - this.doneAt > EXPIRY_MS ? undefined : this.meanMs
  }

  /** How long one statement takes at a free place, with the round trip, in milliseconds; undefined if none was answered lately. */
  serviceTimeMs (now: Instant): number | undefined {
    return now - this.doneAt > EXPIRY_MS ? undefined : this.meanServiceTimeMs
  }

  /** Fraction of recent statements that failed or ended without an answer, from 0 to 1; 0 if there were none. */
  failing (now: Instant): number {
    return this.hasRecentSample(now) ? this.failureRate : 0
  }

  /** Whether a statement was answered or failed lately. */
  hasRecentSample (now: Instant): boolean {
    return now - this.sampledAt <= EXPIRY_MS
  }

  private count (isFailed: 0 | 1, now: Instant): void {
    this.failureRate = interpolate(this.failureRate, isFailed, sampleWeight(now - this.sampledAt, FAILURE_TIME_CONSTANT_MS))
    this.sampledAt = now
  }
}

function sampleWeight (sinceMs: number, timeConstantMs: number): number {
  return Math.min(MAX_WEIGHT, Math.max(MIN_WEIGHT, 1 - Math.exp(-sinceMs / timeConstantMs)))
}

function interpolate (before: number, sample: number, weight: number): number {
  return before + (sample - before) * weight
}
