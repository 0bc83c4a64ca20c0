/** The sessions that one process knows; a bounded table with least-recently-used eviction. */

import type { SessionId } from '../id/session.ts'
import { Session } from './session.ts'

/**
 * A bounded table of named sessions, and a row for each open connection without a named session. Mutable: every request updates it,
 * and copying would cost its size.
 *
 * Evicting a named session is safe, since its reads ask for a bound anyway. A connection's own row is the only record of its writes,
 * so it's kept until the connection closes.
 */
export class SessionTable {
  private readonly table = new Map<SessionId, Session>()
  private readonly kept = new Map<SessionId, Session>()

  private constructor (private readonly most: number) {}

  static create (most: number): SessionTable {
    return new SessionTable(most)
  }

  get size (): number {
    return this.table.size + this.kept.size
  }

  /** The session; one without writes if this process doesn't know it. */
  get (id: SessionId): Session {
    const kept = this.kept.get(id)
    if (kept !== undefined) return kept
    const session = this.table.get(id)
    if (session === undefined) return Session.create(id)
    this.table.delete(id)
    this.table.set(id, session)
    return session
  }

  set (session: Session): void {
    if (this.kept.has(session.id)) {
      this.kept.set(session.id, session)
      return
    }
    this.table.delete(session.id)
    this.table.set(session.id, session)
    if (this.table.size <= this.most) return
    const oldest = this.table.keys().next()
    if (oldest.done !== true) this.table.delete(oldest.value)
  }

  /** Keeps the session's row until `forget` is called. */
  keep (id: SessionId): void {
    this.kept.set(id, Session.create(id))
  }

  forget (id: SessionId): void {
    this.kept.delete(id)
  }
}
