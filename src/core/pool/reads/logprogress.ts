/** How far a group's log is known to reach, and which position a read requires. */

import type { Instant } from '../../id/instant.ts'
import { Watermarks } from '../../routing/watermarks.ts'
import { Token } from '../../token.ts'
import { AgeClock } from './ageclock.ts'

/**
 * What this process knows for certain of one group's log. Immutable; `with` yields the next value.
 *
 * A watermark is a position that the primary answered while it proved to lead; it covers every commit that was acknowledged before the request was sent.
 * Watermarks of earlier terms are discarded with the first one of a newer term: the promotion may have cut that log back, and a read would wait in vain
 * for a position that no log contains any more.
 */
export class LogProgress {
  private constructor (private readonly marks: Watermarks, private readonly newest: Token) {}

  static readonly empty = new LogProgress(Watermarks.empty, Token.zero)

  /** Adds a position that an endpoint answered, while it led, to a request sent at the instant. */
  with (position: Token, sentAt: Instant): LogProgress {
    if (position.term < this.newest.term) return this
    const marks = position.term > this.newest.term ? Watermarks.empty : this.marks
    return new LogProgress(marks.with(position, sentAt), position.max(this.newest))
  }

  /** How long ago the newest watermark was requested, in milliseconds; undefined without one. */
  markAgeMs (now: Instant): number | undefined {
    const { newest } = this.marks
    return newest === undefined ? undefined : now - newest
  }

  /** The newest term in which an endpoint proved to lead. */
  get term (): number {
    return this.newest.term
  }

  /** When the primary was known to have the position; undefined if it isn't known to have it. */
  reachedAt (position: Token): Instant | undefined {
    return this.marks.reachedAt(position)
  }

  /**
   * The lag of a replica whose log ends at the position, in milliseconds. `minMs`: it lacks something that the primary had then; `maxMs`: it has something
   * that the primary didn't have yet; undefined if no such instant is known.
   */
  lagBounds (position: Token, now: Instant): { readonly minMs: number, readonly maxMs: number | undefined } {
    const lacksSince = this.marks.passedAt(position)
    const hasSince = this.marks.belowAt(position)
    return { minMs: lacksSince === undefined ? 0 : now - lacksSince, maxMs: hasSince === undefined ? undefined : now - hasSince }
  }

  /**
   * The position that a read of at most this age requires; undefined if no watermark is recent enough, so that the primary must be asked. The oldest
   * watermark that is recent enough is best, since most replicas have passed it. A session's own commit of an earlier term is either covered by any
   * watermark of the newer term, or was cut off by the promotion and can't be found.
   */
  requiredPosition (own: Token, ageMs: number, now: Instant): Token | undefined {
    const bound = this.marks.boundSince(now - ageMs + AgeClock.toleranceMs as Instant)
    if (bound === undefined) return undefined
    return own.term < bound.term ? bound : bound.max(own)
  }
}
