/**
 * Which session made each recent write of a group, by the write notices of the slot owners of its primary.
 *
 * A session may write through any process, so no process can be sure that it knows its newest write. The group's bound covers that write,
 * but also the writes of all other sessions, and a lagging replica is behind the bound whenever anybody wrote lately. Write notices
 * narrow the bound to the session's own writes.
 */

import type { Position } from '../id/position.ts'
import type { Term } from '../id/term.ts'
import { Token } from '../token.ts'

/**
 * The newest write notices of one term, bounded. Mutable: every write updates it. Notices may be missing, since their sender may have died or
 * may not be connected to this process. Positions are consecutive, so a missing notice shows as a gap, below which the bound isn't
 * narrowed.
 */
export class RecentWrites {
  private term = 0 as Term
  private readonly sessions = new Map<Position, number>()

  private constructor (private readonly most: number) {}

  static create (most: number): RecentWrites {
    return new RecentWrites(most)
  }

  /** Adds a write notice; one of an older term is ignored. */
  add (term: Term, position: Position, session: number): void {
    if (term < this.term) return
    if (term > this.term) this.sessions.clear()
    this.term = term
    this.sessions.set(position, session)
    if (this.sessions.size <= this.most) return
    const oldest = this.sessions.keys().next()
    if (oldest.done !== true) this.sessions.delete(oldest.value)
  }

  /** The newest position in (floor, bound] without a notice; undefined if all have one. */
  findGap (bound: Token, floor: Position): Position | undefined {
    return this.findNewest(bound, floor, session => session === undefined)
  }

  /**
   * The lowest token that is proved to cover every write of the session at or below the bound. It's never below `floor`, the position
   * that all replicas in question have applied.
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
