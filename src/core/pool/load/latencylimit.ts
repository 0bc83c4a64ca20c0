/** How many of an endpoint's places this host may use while it hears of no other owner: by how long answers take. */

import { classes } from '../../admission/classes.ts'
import type { Instant } from '../../id/instant.ts'

interface Pace {
  readonly mean: number
  /** The shortest mean that was seen, which drifts to the present one: an endpoint may become slower for good. */
  readonly least: number
}

/** Few enough for owners that all start at once, none of which was heard yet. */
const FIRST = 2
/** How much of a class's mean one answer moves. */
const WEIGHT = 1 / 8
const DRIFT = 1 / 100
/** At most one change in this time, in which what was sent before is answered. Milliseconds. */
const CHANGE_EVERY_MS = 100
/** Answers that take so many times as long as at best show a queue at the endpoint. */
const SLOW = 1.5
const DOWN = 0.8
const UP = 0.5

/** As TCP Vegas: more while answers take about as long as at best, fewer when they take longer. Changes in place, with every answer. */
export class LatencyLimit {
  private limit = FIRST
  private readonly paces: Array<Pace | undefined> = classes.map(() => undefined)
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
    const { mean, least } = this.paces[rank] ?? { mean: ms, least: ms }
    const next = mean + (ms - mean) * WEIGHT
    const floor = Math.min(least, next)
    this.paces[rank] = { mean: next, least: floor + (next - floor) * DRIFT }
    if (now - this.changedAt < CHANGE_EVERY_MS) return
    this.changedAt = now
    this.limit = next > floor * SLOW ? Math.max(1, this.limit * DOWN) : Math.min(most, this.limit + UP)
  }
}
