/**
 * The terms of a group's log, and where each began.
 *
 * A promotion starts a new term at the position the promoted replica had
 * received. What the replaced primary logged past that point is dropped, so a
 * position of an old term is part of the history only up to the next start.
 */

import type { Position } from './id/position.ts'
import type { Term } from './id/term.ts'

interface Start {
  readonly term: Term
  /** The last position of the log when the term began. */
  readonly position: Position
}

/** The starts of all terms of one log, oldest first. Immutable; `with` returns the next value. */
export class TermHistory {
  private constructor (readonly starts: readonly Start[]) {}

  static readonly empty = new TermHistory([])

  static of (starts: readonly Start[]): TermHistory {
    return new TermHistory([...starts].sort((a, b) => a.term - b.term))
  }

  /** The newest term, 0 when none began. */
  get term (): Term {
    return this.starts.at(-1)?.term ?? 0 as Term
  }

  /** The newest term of which a log of this history and length holds the whole past. */
  termAt (position: Position): Term {
    return this.starts.findLast(start => start.position <= position)?.term ?? 0 as Term
  }

  /**
   * Whether the position written in the term is part of this history. Every
   * later start counts, not only the next one: a term may begin at a lower
   * position than the one before it, if that one's primary failed before its log
   * was copied.
   */
  contains (term: Term, position: Position): boolean {
    return this.starts.every(start => start.term <= term || position <= start.position)
  }

  /** The start of the term that ended the given one; undefined if no later term has begun. */
  startAfter (term: Term): Start | undefined {
    return this.starts.find(start => start.term > term)
  }

  with (term: Term, position: Position): TermHistory {
    const others = this.starts.filter(start => start.term !== term)
    return TermHistory.of([...others, { term, position }])
  }
}
