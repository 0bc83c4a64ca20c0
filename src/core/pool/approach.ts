/** What goes to a connection in front of a caller's statement, so that it runs where it has to. */

import type { Command } from '../statement/command.ts'

type Begin = Extract<Command, { kind: 'begin' }>

interface Options {
  /** What the connection has open of this process's own: nothing, a transaction begun ahead, or one that is too old to be used. */
  readonly begun: 'none' | 'fresh' | 'old'
  /** Commands that bring the connection to the session's values. */
  readonly prelude: readonly Command[]
  /** The transaction that the statement needs; undefined for one that runs outside. */
  readonly begin: Begin | undefined
}

/**
 * Guard against a statement that runs outside of its transaction: a BEGIN that
 * is refused doesn't stop what was sent behind it. So a BEGIN is answered
 * before the statement goes, or was begun ahead, behind the statement before;
 * own commands that are always taken go together with the statement.
 */
export class Approach {
  private constructor (
    /** Sent first; the last of them is answered before the statement goes. */
    readonly ahead: readonly Command[],
    /** Sent in one go with the statement, in front of it. */
    readonly together: readonly Command[]
  ) {}

  static to ({ begun, prelude, begin }: Options): Approach {
    // Values are set inside of a transaction as well as outside; a reset is kept out of it, since it might end it.
    const isKept = begun === 'fresh' && begin?.isReadOnly === false && prelude.every(({ kind }) => kind !== 'reset')
    if (isKept) return new Approach([], prelude)
    const rest: readonly Command[] = begun === 'none' ? prelude : [{ kind: 'rollback' }, ...prelude]
    return begin === undefined ? new Approach([], rest) : new Approach([...rest, begin], [])
  }
}
