/** A session: what it must see of each group it has touched. */

import type { GroupId } from '../id/group.ts'
import type { SessionId } from '../id/session.ts'
import { Token } from '../token.ts'

/** The newest write that a session has seen, per group. Immutable. */
export class Session {
  private constructor (readonly id: SessionId, private readonly tokens: ReadonlyMap<GroupId, Token>) {}

  static create (id: SessionId): Session {
    return new Session(id, new Map())
  }

  /** The token of the group; `undefined` when this process doesn't know what the session has written there. */
  token (group: GroupId): Token | undefined {
    return this.tokens.get(group)
  }

  /** Takes a token in; a token never goes back. */
  with (group: GroupId, token: Token): Session {
    const old = this.tokens.get(group)
    if (old !== undefined && !token.isAfter(old)) return this
    return new Session(this.id, new Map(this.tokens).set(group, token))
  }
}
