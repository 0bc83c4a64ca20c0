/**
 * What this process knows of the primary's progress: positions, and the instants at which it asked for them. The age of a
 * replica's data is derived from these, and not from what the replica says of itself.
 */

import type { Sample } from '../group/sample.ts'
import type { Instant } from '../id/instant.ts'
import type { Token } from '../token.ts'
import { hasApplied } from './applied.ts'

interface Watermark {
  /** Every write acknowledged before `at` is at or below this token. */
  readonly bound: Token
  /** When the query was sent, by this process's own clock. */
  readonly at: Instant
}

const MAX_WATERMARKS = 256

/** A bounded list of watermarks, oldest first. Immutable. */
export class Watermarks {
  private constructor (private readonly watermarks: readonly Watermark[]) {}

  static readonly empty = new Watermarks([])

  /** Adds a bound that was asked for at the instant; one asked for before the newest is ignored. */
  with (bound: Token, at: Instant): Watermarks {
    const last = this.watermarks.at(-1)
    if (last !== undefined && at <= last.at) return this
    // Of two watermarks of the same position the later one proves more.
    const isSamePosition = last !== undefined && !bound.isAfter(last.bound)
    const kept = isSamePosition ? this.watermarks.slice(0, -1) : this.watermarks
    return new Watermarks(thin([...kept, { bound: last === undefined ? bound : last.bound.max(bound), at }]))
  }

  /** When the newest bound was asked for; undefined without one. */
  get newest (): Instant | undefined {
    return this.watermarks.at(-1)?.at
  }

  /** The bound of the oldest watermark that was asked for at the instant or later; undefined without one. */
  boundSince (at: Instant): Token | undefined {
    return this.watermarks.find(watermark => watermark.at >= at)?.bound
  }

  /** When the first bound at or above the position was asked for; undefined without one. */
  reachedAt (position: Token): Instant | undefined {
    return this.watermarks.find(({ bound }) => !position.isAfter(bound))?.at
  }

  /** When the first bound above the position was asked for; undefined without one. */
  passedAt (position: Token): Instant | undefined {
    return this.watermarks.find(({ bound }) => bound.isAfter(position))?.at
  }

  /** When the last bound below the position was asked for; undefined without one. */
  belowAt (position: Token): Instant | undefined {
    return this.watermarks.findLast(({ bound }) => position.isAfter(bound))?.at
  }

  /** The smallest proved age of the replica's data in milliseconds; `Infinity` if nothing is proved. */
  age (sample: Sample, now: Instant): number {
    const watermark = this.watermarks.findLast(({ bound }) => hasApplied(sample, bound))
    return watermark === undefined ? Infinity : now - watermark.at
  }
}

/**
 * Drops every second watermark of the older half of a full list. The age of a replica is then proved by an earlier one, so that it may
 * be overstated, never understated.
 */
function thin (watermarks: readonly Watermark[]): readonly Watermark[] {
  if (watermarks.length <= MAX_WATERMARKS) return watermarks
  return watermarks.filter((_, i) => i >= MAX_WATERMARKS / 2 || i % 2 === 0)
}
