/** What a session has set and prepared, and what brings an endpoint connection to the same state. */

import type { Command } from '../statement/command.ts'

interface PreparedStatement {
  readonly isWrite: boolean
  readonly shape: string
}

/**
 * The session state of a caller, or of an endpoint connection that callers
 * share. Changes in place: it's consulted for every statement.
 *
 * Guard against a statement that runs under another caller's values: a
 * connection that goes from caller to caller keeps what was set on it. It shows
 * as rows computed under values that nobody of this session set. Before each
 * statement the connection is brought to exactly the session's values, by a
 * reset where it holds a value that the session doesn't have.
 */
export class SessionState {
  private readonly values = new Map<string, string>()
  private readonly prepared = new Map<string, PreparedStatement>()

  private constructor () {}

  static empty (): SessionState {
    return new SessionState()
  }

  set (name: string, value: string): void {
    this.values.set(name, value)
  }

  prepare (name: string, isWrite: boolean, shape: string): void {
    this.prepared.set(name, { isWrite, shape })
  }

  deallocate (name: string): boolean {
    return this.prepared.delete(name)
  }

  statement (name: string): PreparedStatement | undefined {
    return this.prepared.get(name)
  }

  /** Forgets all, as a reset does at the endpoint. */
  clear (): void {
    this.values.clear()
    this.prepared.clear()
  }

  /** The commands it takes to bring a connection in this state to the session's values. */
  commandCountTo (session: SessionState): number {
    return this.commandsTo(session).length
  }

  /** Own commands that bring a connection in this state to the session's values. Statements are prepared when one is used. */
  commandsTo (session: SessionState): readonly Command[] {
    const needsReset = [...this.values.keys()].some(name => !session.values.has(name))
    const commands: Command[] = needsReset ? [{ kind: 'reset' }] : []
    for (const [name, value] of session.values) {
      if (needsReset || this.values.get(name) !== value) commands.push({ kind: 'set', name, value })
    }
    return commands
  }

  /** Takes in that a connection was sent an own command. */
  apply (command: Command): void {
    if (command.kind === 'reset') this.clear()
    if (command.kind === 'set') this.set(command.name, command.value)
    if (command.kind === 'prepare') this.prepare(command.name, command.isWrite, command.shape)
  }
}
