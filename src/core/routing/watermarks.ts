/**
 * What this process has proved of the primary's progress: positions and the
 * instants at which it asked for them. The age of a replica is told from these
 * and never from what the replica says of itself.
 */

import type { Sample } from '../group/sample.ts'
import type { Instant } from '../id/instant.ts'
import type { Token } from '../token.ts'
import { hasApplied } from './applied.ts'

interface Watermark {
  /** Every write acknowledged before `at` is at or below it. */
  readonly bound: Token
  /** When the question was sent, on this process's own clock. */
  readonly at: Instant
}

const MAX_WATERMARKS = 256

/** A bounded list of marks, oldest first. Immutable. */
export class Watermarks {
  private constructor (private readonly watermarks: readonly Watermark[]) {}

  static readonly empty = new Watermarks([])

  /** Takes a bound in that was asked for at the instant; one asked before the newest is passed over. */
  with (bound: Token, at: Instant): Watermarks {
    const last = this.watermarks.at(-1)
    if (last !== undefined && at <= last.at) return this
    // The later of two marks of one position proves more than the earlier.
    const isSame = last !== undefined && !bound.isAfter(last.bound)
    const kept = isSame ? this.watermarks.slice(0, -1) : this.watermarks
    return new Watermarks(thin([...kept, { bound: last === undefined ? bound : last.bound.max(bound), at }]))
  }

  /** When the newest bound was asked for; `undefined` without one. */
  get newest (): Instant | undefined {
    return this.watermarks.at(-1)?.at
  }

  /** The bound of the oldest mark that was asked for at the instant or later; undefined without one. */
  boundSince (at: Instant): Token | undefined {
    return this.watermarks.find(mark => mark.at >= at)?.bound
  }

  /** When the first bound was asked for that is at or above the position; undefined without one. */
  reachedAt (position: Token): Instant | undefined {
    return this.watermarks.find(({ bound }) => !position.isAfter(bound))?.at
  }

  /** When the first bound was asked for that lies above the position; undefined without one. */
  passedAt (position: Token): Instant | undefined {
    return this.watermarks.find(({ bound }) => bound.isAfter(position))?.at
  }

  /** When the last bound was asked for that lies below the position; undefined without one. */
  belowAt (position: Token): Instant | undefined {
    return this.watermarks.findLast(({ bound }) => position.isAfter(bound))?.at
  }

  /** The least proved age of what the replica shows, in milliseconds; infinite when nothing is proved. */
  age (sample: Sample, now: Instant): number {
    const mark = this.watermarks.findLast(({ bound }) => hasApplied(sample, bound))
    return mark === undefined ? Infinity : now - mark.at
  }
}

/**
 * Drops every second mark of the older half of a full list. A replica's age is
 * then proved by an earlier mark: it looks older than it is, never younger.
 */
function thin (marks: readonly Watermark[]): readonly Watermark[] {
  if (marks.length <= MAX_WATERMARKS) return marks
  return marks.filter((_, i) => i >= MAX_WATERMARKS / 2 || i % 2 === 0)
}
