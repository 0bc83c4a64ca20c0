/** The values that a session has set and the statements that it has prepared. */

import type { Command } from '../statement/command.ts'

interface PreparedStatement {
  readonly isWrite: boolean
  readonly shape: string
}

/**
 * The session state of a caller, or of an endpoint connection that callers share. Mutable: every statement consults it.
 *
 * A shared connection keeps what earlier callers set on it. Before each statement it's brought to exactly the session's values, by a reset
 * if it holds a value that the session doesn't have, so that no statement runs under another caller's values.
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

  /** Clears all state, as a reset does at the endpoint. */
  clear (): void {
    this.values.clear()
    this.prepared.clear()
  }

  /** Number of commands that bring a connection in this state to the session's values. */
  commandCountTo (session: SessionState): number {
    return this.commandsTo(session).length
  }

  /** The commands that bring a connection in this state to the session's values. Statements are prepared when they are used. */
  commandsTo (session: SessionState): readonly Command[] {
    const needsReset = [...this.values.keys()].some(name => !session.values.has(name))
    const commands: Command[] = needsReset ? [{ kind: 'reset' }] : []
    for (const [name, value] of session.values) {
      if (needsReset || this.values.get(name) !== value) commands.push({ kind: 'set', name, value })
    }
    return commands
  }

  /** Updates the state after a command was sent on the connection. */
  apply (command: Command): void {
    if (command.kind === 'reset') this.clear()
    if (command.kind === 'set') this.set(command.name, command.value)
    if (command.kind === 'prepare') this.prepare(command.name, command.isWrite, command.shape)
  }
}
