/** How many of an endpoint's places this host may use while it hears of no other owner: by how long answers take. */

import { classes } from '../../admission/classes.ts'
import type { Instant } from '../../id/instant.ts'

interface Latency {
  readonly meanMs: number
  /** The shortest mean that was seen, which drifts to the present one: an endpoint may become slower for good. */
  readonly minMs: number
}

/** Few enough for owners that all start at once, none of which was heard yet. */
const INITIAL_PLACES = 2
/** How much of a class's mean one answer moves. */
const SAMPLE_WEIGHT = 1 / 8
const MIN_DRIFT_RATE = 1 / 100
/** At most one change in this time, in which what was sent before is answered. Milliseconds. */
const CHANGE_INTERVAL_MS = 100
/** Answers that take so many times as long as at best show a queue at the endpoint. */
const SLOW_RATIO = 1.5
const DECREASE_FACTOR = 0.8
const INCREASE = 0.5

/** As TCP Vegas: more while answers take about as long as at best, fewer when they take longer. Changes in place, with every answer. */
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

  /** `ms`: from sending a statement of the class to its answer. `most`: it grows no further. */
  answered (ms: number, rank: number, most: number, now: Instant): void {
    const { meanMs: mean, minMs: least } = this.latencies[rank] ?? { meanMs: ms, minMs: ms }
    const next = mean + (ms - mean) * SAMPLE_WEIGHT
    const floor = Math.min(least, next)
    this.latencies[rank] = { meanMs: next, minMs: floor + (next - floor) * MIN_DRIFT_RATE }
    if (now - this.changedAt < CHANGE_INTERVAL_MS) return
    this.changedAt = now
    this.limit = next > floor * SLOW_RATIO ? Math.max(1, this.limit * DECREASE_FACTOR) : Math.min(most, this.limit + INCREASE)
  }
}
