/** The token of a session: the newest write of one group that the session has seen. */

import type { Position } from './id/position.ts'
import type { Term } from './id/term.ts'

/** A point of a group's log. Ordered by term, then position. Immutable. */
export class Token {
  private constructor (readonly term: Term, readonly position: Position) {}

  static readonly zero = new Token(0 as Term, 0 as Position)

  static of (term: number, position: number): Token {
    return new Token(term as Term, position as Position)
  }

  /** Reads `term:position`; `undefined` when the text isn't a token. */
  static parse (text: string): Token | undefined {
    const match = /^(\d{1,15}):(\d{1,15})$/.exec(text)
    if (match === null) return undefined
    return Token.of(Number(match[1]), Number(match[2]))
  }

  isAfter (other: Token): boolean {
    if (this.term !== other.term) return this.term > other.term
    return this.position > other.position
  }

  /** The later of the two. */
  max (other: Token): Token {
    return other.isAfter(this) ? other : this
  }

  toString (): string {
    return `${this.term}:${this.position}`
  }
}
