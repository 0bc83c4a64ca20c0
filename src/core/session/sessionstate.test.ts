/** Guards against statements that run under another caller's values on a shared connection. */

import { describe, expect, it } from 'vitest'
import { SessionState } from './sessionstate.ts'

/** Creates a state from `name=value` texts. */
function values (...pairs: string[]): SessionState {
  const state = SessionState.empty()
  for (const pair of pairs) {
    const [name, value] = pair.split('=') as [string, string]
    state.set(name, value)
  }
  return state
}

function commands (connection: SessionState, session: SessionState): string[] {
  return connection.commandsTo(session).map(command => command.kind === 'set' ? `${command.name}=${command.value}` : command.kind)
}

describe('the commands to a session\'s values', () => {
  it.each<[string, string[], string[], string[]]>([
    ['nothing set', [], [], []],
    ['the same', ['a=1'], ['a=1'], []],
    ['one more', ['a=1'], ['a=1', 'b=2'], ['b=2']],
    ['another value', ['a=1'], ['a=2'], ['a=2']],
    // The connection has a value that the session never set.
    ['one that the session lacks', ['a=1', 'b=2'], ['a=1'], ['reset', 'a=1']],
    ['none that the session has', ['a=1'], [], ['reset']]
  ])('%s', (_, connection, session, expected) => expect(commands(values(...connection), values(...session))).toEqual(expected))

  it('a reset clears prepared statements', () => {
    const connection = values('a=1')
    connection.apply({ kind: 'prepare', name: 'r_q', isWrite: false, shape: 'q' })
    connection.apply({ kind: 'reset' })
    expect(connection.statement('r_q')).toBeUndefined()
  })
})
