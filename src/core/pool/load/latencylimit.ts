/** How many of an endpoint's places this host may use while it receives no other owner's reports, depending on response times. */

import { classes } from '../../admission/classes.ts'
import type { Instant } from '../../id/instant.ts'

interface Latency {
  readonly meanMs: number
  /** The minimum of the mean, which drifts towards the present mean, since an endpoint may become slower for good. */
  readonly minMs: number
}

/** Few enough for several owners that start at the same time. */
const INITIAL_PLACES = 2
/** Weight of one answer in the mean of its class. */
const SAMPLE_WEIGHT = 1 / 8
const MIN_DRIFT_RATE = 1 / 100
/** At most one change in this time, so that statements sent before the last change have been answered. */
const CHANGE_INTERVAL_MS = 100
/** Answers that take this many times the minimum show a queue at the endpoint. */
const SLOW_RATIO = 1.5
const DECREASE_FACTOR = 0.8
const INCREASE = 0.5

/** As in TCP Vegas: the limit grows while answers take about the minimum time, and shrinks while they take longer. Changes in place, with every answer. */
export class LatencyLimit {
  private limit = INITIAL_PLACES
  private readonly latencies: Array<Latency | undefined> = classes.map(() => undefined)
  private changedAt = -Infinity as Instant

  private constructor () {}

  static create (): LatencyLimit {
    return new LatencyLimit()
  }

  get places (): number {
    return this.limit
  }

  /** `ms`: from sending a statement of the class to its answer. `most`: upper bound of the limit. */
  answered (ms: number, rank: number, most: number, now: Instant): void {
    const { meanMs, minMs } = this.latencies[rank] ?? { meanMs: ms, minMs: ms }
    const nextMs = meanMs + (ms - meanMs) * SAMPLE_WEIGHT
    const floorMs = Math.min(minMs, nextMs)
    this.latencies[rank] = { meanMs: nextMs, minMs: floorMs + (nextMs - floorMs) * MIN_DRIFT_RATE }
    if (now - this.changedAt < CHANGE_INTERVAL_MS) return
    this.changedAt = now
    this.limit = nextMs > floorMs * SLOW_RATIO ? Math.max(1, this.limit * DECREASE_FACTOR) : Math.min(most, this.limit + INCREASE)
  }
}
