/**
 * A caller's hints for one request, in a leading SQL comment:
 * `/* class=urgent read=browse once=kit-17 deadline=800ms session=s1 *\/`.
 */

import type { RequestId } from '../id/request.ts'
import type { SessionId } from '../id/session.ts'
import { parseDuration } from '../settings/duration.ts'
import { Token } from '../token.ts'

interface Fields {
  readonly class?: 'urgent' | 'normal' | 'browsing'
  /** Name of one of the pool's kinds of read. */
  readonly read?: string
  /** Idempotency key: the request runs at most once under it. */
  readonly once?: RequestId
  readonly deadlineMs?: number
  readonly session?: SessionId
  readonly token?: Token
}

type Writable<T> = { -readonly [K in keyof T]: T[K] }

const COMMENT = /^\s*\/\*([\s\S]*?)\*\//
/** A key starts where no letter precedes it, so that a long word isn't tried again from each of its letters. */
const PAIR = /(?<![a-z_])([a-z_]+)\s*=\s*(?:"([^"]*)"|([^\s,"]+))/gi

/** The hints of one request. Immutable; `withDefaults` fills them up with the connection's. */
export class Hints {
  private constructor (readonly fields: Fields) {}

  static readonly none = new Hints({})

  /** Parses the leading comment of a statement. Unknown keys belong to other tools and are ignored. */
  static parse (sql: string): Hints {
    const comment = COMMENT.exec(sql)?.[1]
    if (comment === undefined) return Hints.none
    // On the path of every request: `matchAll` would copy the expression per call, and a new `Hints` per pair would cost an allocation each.
    const fields: Writable<Fields> = {}
    PAIR.lastIndex = 0
    for (let pair = PAIR.exec(comment); pair !== null; pair = PAIR.exec(comment)) setHint(fields, pair[1]!, pair[2] ?? pair[3]!)
    return new Hints(fields)
  }

  /** Returns the hints with one more set; an unknown name or an unreadable value changes nothing. */
  with (key: string, value: string): Hints {
    const fields: Writable<Fields> = { ...this.fields }
    setHint(fields, key, value)
    return new Hints(fields)
  }

  /** These hints, with the other's where this has none. */
  withDefaults (other: Hints): Hints {
    if (other === Hints.none) return this
    if (this === Hints.none) return other
    return new Hints({ ...other.fields, ...this.fields })
  }
}

/** Sets one hint; `fields` must not be shared yet. */
function setHint (fields: Writable<Fields>, key: string, value: string): void {
  switch (key.toLowerCase()) {
    case 'class':
      if (value === 'urgent' || value === 'normal' || value === 'browsing') fields.class = value
      return
    case 'read':
      fields.read = value
      return
    case 'once':
      fields.once = value as RequestId
      return
    case 'session':
      fields.session = value as SessionId
      return
    case 'deadline': {
      const ms = parseDuration(value)
      if (ms.isOk()) fields.deadlineMs = ms.value
      return
    }
    case 'token': {
      const token = Token.parse(value)
      if (token !== undefined) fields.token = token
    }
  }
}
