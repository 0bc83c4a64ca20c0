/** The sessions that one process knows, bounded; the least recently used go first. */

import type { SessionId } from '../id/session.ts'
import type { Session } from './session.ts'

/**
 * A bounded table of sessions. Unlike the values it holds it changes in
 * place: it is touched by every request, and copying it would cost its size.
 * Forgetting a session is safe, see `Session.token`.
 */
export class Sessions {
  private readonly table = new Map<SessionId, Session>()

  private constructor (private readonly most: number) {}

  static create (most: number): Sessions {
    return new Sessions(most)
  }

  get size (): number {
    return this.table.size
  }

  get (id: SessionId): Session | undefined {
    const session = this.table.get(id)
    if (session === undefined) return undefined
    this.table.delete(id)
    this.table.set(id, session)
    return session
  }

  set (session: Session): void {
    this.table.delete(session.id)
    this.table.set(session.id, session)
    if (this.table.size <= this.most) return
    const oldest = this.table.keys().next()
    if (oldest.done !== true) this.table.delete(oldest.value)
  }
}
