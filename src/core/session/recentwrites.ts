/**
 * Which session made each recent write of a group, as the slot owners of its
 * primary tell every process.
 *
 * A session that roams may have written anywhere, so what one proxy keeps of
 * it is never known to be the newest. The group's bound is, but it stands for
 * everybody's writes, and a replica that lags by 100 ms is behind it whenever
 * anybody wrote in the last 100 ms. The notes narrow the bound to the session.
 */

import type { Position } from '../id/position.ts'
import type { Term } from '../id/term.ts'
import { Token } from '../token.ts'

/**
 * The newest notes of one term, bounded; changes in place, as it is touched by
 * every write. No note is ever taken for complete: positions are counted
 * without gaps, so a write whose note is missing (its owner died, or isn't
 * linked to this process) shows as a gap, and the bound isn't narrowed past it.
 */
export class RecentWrites {
  private term = 0 as Term
  private readonly sessions = new Map<Position, number>()

  private constructor (private readonly most: number) {}

  static create (most: number): RecentWrites {
    return new RecentWrites(most)
  }

  /** Takes a note in; one of an older term than the newest is of no use any more. */
  add (term: Term, position: Position, session: number): void {
    if (term < this.term) return
    if (term > this.term) this.sessions.clear()
    this.term = term
    this.sessions.set(position, session)
    if (this.sessions.size <= this.most) return
    const oldest = this.sessions.keys().next()
    if (oldest.done !== true) this.sessions.delete(oldest.value)
  }

  /** The newest position in (floor, bound] that has no note; undefined when all have one. */
  findGap (bound: Token, floor: Position): Position | undefined {
    return this.findNewest(bound, floor, session => session === undefined)
  }

  /**
   * The least token that covers every write of the session at or below the
   * bound, as far as notes prove it. It isn't narrowed below `floor`, the
   * position that every replica in question has applied.
   */
  narrowBound (bound: Token, session: number, floor: Position): Token {
    const found = this.findNewest(bound, floor, writer => writer === undefined || writer === session)
    const least = Math.min(floor, bound.position)
    return Token.of(bound.term, found ?? least)
  }

  private findNewest (bound: Token, floor: Position, test: (session: number | undefined) => boolean): Position | undefined {
    const isKnown = bound.term === this.term
    for (let position = bound.position; position > floor; position = position - 1 as Position) {
      if (test(isKnown ? this.sessions.get(position) : undefined)) return position
    }
    return undefined
  }
}
