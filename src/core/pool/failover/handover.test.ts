/** Whether a commit of a leaving primary survives its replacement. */

import { expect, it } from 'vitest'
import { Token } from '../../token.ts'
import { Handover } from './handover.ts'

const COMMIT = Token.of(1, 9)

it.each<[string, { term: number, isPrimary: boolean, received: Token }, string]>([
  ['the successor has it', { term: 1, isPrimary: false, received: Token.of(1, 9) }, 'received'],
  ['the successor has more', { term: 1, isPrimary: false, received: Token.of(1, 12) }, 'received'],
  ['the successor lacks it', { term: 1, isPrimary: false, received: Token.of(1, 8) }, 'missing'],
  ['the successor leads already, and its own commits hide what it lacks', { term: 2, isPrimary: true, received: Token.of(2, 9) }, 'unknown'],
  ['another endpoint leads a newer term', { term: 2, isPrimary: false, received: Token.of(2, 10) }, 'unknown']
])('%s', (_name, status, fate) => expect(Handover.receiptOf(COMMIT, status)).toBe(fate))
