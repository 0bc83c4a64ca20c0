/** What goes in front of a statement, and what has to be answered before it. */

import { expect, it } from 'vitest'
import type { Command } from '../statement/command.ts'
import { Approach } from './approach.ts'

const BEGIN = { kind: 'begin', isReadOnly: false } as const
const READ_ONLY = { kind: 'begin', isReadOnly: true } as const
const SET: Command = { kind: 'set', name: 'a', value: '1' }
const RESET: Command = { kind: 'reset' }

interface Case {
  readonly name: string
  readonly options: Parameters<typeof Approach.to>[0]
  /** Kinds of what goes ahead, a bar, and kinds of what goes together with the statement. */
  readonly expected: string
}

const cases: readonly Case[] = [
  { name: 'a lone statement', options: { begun: 'none', prelude: [], begin: undefined }, expected: '|' },
  { name: 'a lone statement with a value', options: { begun: 'none', prelude: [SET], begin: undefined }, expected: '|set' },
  { name: 'a lone statement never runs in a transaction begun ahead', options: { begun: 'fresh', prelude: [SET], begin: undefined }, expected: '|rollback set' },
  { name: 'the first of a transaction', options: { begun: 'none', prelude: [SET], begin: BEGIN }, expected: 'set begin|' },
  { name: 'the first of a transaction begun ahead', options: { begun: 'fresh', prelude: [], begin: BEGIN }, expected: '|' },
  { name: 'the same with a value', options: { begun: 'fresh', prelude: [SET], begin: BEGIN }, expected: '|set' },
  { name: 'a reset is kept out of the transaction', options: { begun: 'fresh', prelude: [RESET, SET], begin: BEGIN }, expected: 'rollback reset set begin|' },
  { name: 'one that was begun long ago is not used', options: { begun: 'old', prelude: [], begin: BEGIN }, expected: 'rollback begin|' },
  { name: 'a read-only one is not the one that was begun', options: { begun: 'fresh', prelude: [], begin: READ_ONLY }, expected: 'rollback begin|' }
]

it.each(cases)('$name: $expected', ({ options, expected }) => {
  const { ahead, together } = Approach.to(options)
  expect(`${kinds(ahead)}|${kinds(together)}`).toBe(expected)
})

function kinds (commands: readonly Command[]): string {
  return commands.map(({ kind }) => kind).join(' ')
}
