/** How far a group's log is known to reach, and which position a read must find. */

import type { Instant } from '../../id/instant.ts'
import { Watermarks } from '../../routing/watermarks.ts'
import { Token } from '../../token.ts'
import { AgeClock } from './ageclock.ts'

/**
 * What this process has proved of one group. Immutable; `with` yields the next.
 *
 * A mark is what the primary answered while it proved to lead; it covers every
 * commit that was acknowledged before the question was sent. Marks of an
 * earlier term are forgotten with the first of a newer one: a promotion may
 * have cut that log back, and a position that no log holds any more would be
 * waited for in vain.
 */
export class LogProgress {
  private constructor (private readonly marks: Watermarks, private readonly newest: Token) {}

  static readonly empty = new LogProgress(Watermarks.empty, Token.zero)

  /** Takes in a position that an endpoint answered, while it led, to something sent at the instant. */
  with (position: Token, sentAt: Instant): LogProgress {
    if (position.term < this.newest.term) return this
    const marks = position.term > this.newest.term ? Watermarks.empty : this.marks
    return new LogProgress(marks.with(position, sentAt), position.max(this.newest))
  }

  /** How long ago the newest mark was asked for, in milliseconds; undefined without one. */
  markAgeMs (now: Instant): number | undefined {
    const { newest } = this.marks
    return newest === undefined ? undefined : now - newest
  }

  /** The newest term in which an endpoint proved to lead. */
  get term (): number {
    return this.newest.term
  }

  /** When the primary was known to have the position; undefined when it isn't. */
  reachedAt (position: Token): Instant | undefined {
    return this.marks.reachedAt(position)
  }

  /**
   * How far a replica is behind whose log ends at the position now, in milliseconds: at least so much, since it lacks what the primary had then, and at
   * most so much, since it has what the primary hadn't yet; undefined when no such instant is known.
   */
  lagBounds (position: Token, now: Instant): { readonly minMs: number, readonly maxMs: number | undefined } {
    const lacksSince = this.marks.passedAt(position)
    const hasSince = this.marks.belowAt(position)
    return { minMs: lacksSince === undefined ? 0 : now - lacksSince, maxMs: hasSince === undefined ? undefined : now - hasSince }
  }

  /**
   * The position that a read of this age must find; undefined when no mark is
   * young enough, and the primary must be asked. The oldest mark that is young
   * enough serves best, since most replicas have passed it. A session's own
   * commit of an earlier term is covered by any mark of the newer one, or was
   * cut off by the promotion and will never be found.
   */
  requiredPosition (own: Token, ageMs: number, now: Instant): Token | undefined {
    const bound = this.marks.boundSince(now - ageMs + AgeClock.toleranceMs as Instant)
    if (bound === undefined) return undefined
    return own.term < bound.term ? bound : bound.max(own)
  }
}
