/** A session: the position that it requires of each group it has written to. */

import type { GroupId } from '../id/group.ts'
import type { SessionId } from '../id/session.ts'
import { Token } from '../token.ts'

/** The newest write of a session through this process, per group. Immutable. */
export class Session {
  private constructor (readonly id: SessionId, private readonly tokens: ReadonlyMap<GroupId, Token>) {}

  static create (id: SessionId): Session {
    return new Session(id, new Map())
  }

  /** The token of the group; zero if the session has written nothing there through this process. */
  token (group: GroupId): Token {
    return this.tokens.get(group) ?? Token.zero
  }

  /** Adds a token; an older one is ignored. */
  with (group: GroupId, token: Token): Session {
    if (!token.isAfter(this.token(group))) return this
    return new Session(this.id, new Map(this.tokens).set(group, token))
  }
}
