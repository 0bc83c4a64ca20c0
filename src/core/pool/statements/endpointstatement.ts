/** A caller's statement in the form in which it is sent to an endpoint. */

import type { SessionState } from '../../session/sessionstate.ts'
import type { Command } from '../../statement/command.ts'
import type { Statement } from '../../statement/statement.ts'
import { preparedName } from '../../statement/preparedname.ts'
import type { Token } from '../../token.ts'

interface Fields {
  readonly id: string
  readonly what: 'read' | 'write' | 'commit'
  readonly statement: Statement
  /** The command that prepares the statement of an `execute`; undefined for other kinds. */
  readonly preparation: Extract<Command, { kind: 'prepare' }> | undefined
}

/** Immutable. */
export class EndpointStatement {
  private constructor (private readonly fields: Fields) {}

  /** Undefined for a statement that isn't sent to endpoints, and for an `execute` of an unknown prepared statement. */
  static of (id: string, statement: Statement, values: SessionState): EndpointStatement | undefined {
    const { kind } = statement
    if (kind === 'read' || kind === 'write' || kind === 'commit') return new EndpointStatement({ id, statement, what: kind, preparation: undefined })
    if (kind !== 'execute') return undefined
    const prepared = values.statement(statement.name)
    if (prepared === undefined) return undefined
    const name = preparedName(prepared.isWrite, prepared.shape)
    return new EndpointStatement({ id, statement, what: prepared.isWrite ? 'write' : 'read', preparation: { kind: 'prepare', name, ...prepared } })
  }

  get id (): string {
    return this.fields.id
  }

  get what (): Fields['what'] {
    return this.fields.what
  }

  /** Commands that bring a connection from its current state to the session's before the statement runs. */
  setupCommands (connection: SessionState, session: SessionState): readonly Command[] {
    const commands = connection.commandsTo(session)
    const { preparation } = this.fields
    if (preparation === undefined) return commands
    const isReset = commands.some(({ kind }) => kind === 'reset')
    const isPrepared = !isReset && connection.statement(preparation.name) !== undefined
    return isPrepared ? commands : [...commands, preparation]
  }

  /** `after`: the position that the endpoint's log must include. */
  command (after?: Token): Command {
    const { id, statement, preparation } = this.fields
    switch (statement.kind) {
      case 'read': return { kind: 'read', id, args: statement.args, after }
      case 'write': return { kind: 'write', id, args: statement.args }
      case 'execute': return { kind: 'execute', id, name: preparation!.name, args: statement.args, after }
      default: return { kind: 'commit', id }
    }
  }
}
