/**
 * What a caller says about one request, in a leading SQL comment:
 * `/* class=urgent read=browse once=kit-17 deadline=800ms session=s1 *\/`.
 */

import type { RequestId } from '../id/request.ts'
import type { SessionId } from '../id/session.ts'
import { parseDuration } from '../settings/duration.ts'
import { Token } from '../token.ts'

interface Fields {
  readonly class?: 'urgent' | 'normal' | 'browsing'
  /** The name of a kind of read of the pool. */
  readonly read?: string
  /** The idempotency key: the request runs at most once under it. */
  readonly once?: RequestId
  readonly deadlineMs?: number
  readonly session?: SessionId
  readonly token?: Token
}

const COMMENT = /^\s*\/\*([\s\S]*?)\*\//
/** A key begins where no letter stands before it; else a long word would be tried again from each of its letters. */
const PAIR = /(?<![a-z_])([a-z_]+)\s*=\s*("[^"]*"|[^\s,"]+)/gi

/** The hints of one request. Immutable; `over` lets a request's own hints go before a connection's. */
export class Hints {
  private constructor (readonly fields: Fields) {}

  static readonly none = new Hints({})

  /** Reads the leading comment of a statement. Unknown keys are another tool's and are passed over. */
  static parse (sql: string): Hints {
    const comment = COMMENT.exec(sql)?.[1]
    if (comment === undefined) return Hints.none
    let hints = Hints.none
    for (const [, key, value] of comment.matchAll(PAIR)) {
      hints = hints.with(key!, value!.replace(/^"|"$/g, ''))
    }
    return hints
  }

  /** Sets one hint by its name; an unknown name or an unreadable value changes nothing. */
  with (key: string, value: string): Hints {
    return new Hints({ ...this.fields, ...read(key.toLowerCase(), value) })
  }

  /** These hints, filled up with the other's. */
  over (other: Hints): Hints {
    return new Hints({ ...other.fields, ...this.fields })
  }
}

function read (key: string, value: string): Fields {
  switch (key) {
    case 'class':
      return value === 'urgent' || value === 'normal' || value === 'browsing' ? { class: value } : {}
    case 'read':
      return { read: value }
    case 'once':
      return { once: value as RequestId }
    case 'session':
      return { session: value as SessionId }
    case 'deadline':
      return parseDuration(value).match(deadlineMs => ({ deadlineMs }), () => ({}))
    case 'token': {
      const token = Token.parse(value)
      return token === undefined ? {} : { token }
    }
    default:
      return {}
  }
}
