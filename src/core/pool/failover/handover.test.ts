/** Guards against acknowledging a commit of a leaving primary that its successor lacks. */

import { expect, it } from 'vitest'
import { Token } from '../../token.ts'
import { Handover } from './handover.ts'

const COMMIT = Token.of(1, 9)

it.each<[string, { term: number, isPrimary: boolean, received: Token }, string]>([
  ['the successor has it', { term: 1, isPrimary: false, received: Token.of(1, 9) }, 'received'],
  ['the successor has more', { term: 1, isPrimary: false, received: Token.of(1, 12) }, 'received'],
  ['the successor does not have it yet', { term: 1, isPrimary: false, received: Token.of(1, 8) }, 'missing'],
  ['the successor leads already, so its position includes its own commits', { term: 2, isPrimary: true, received: Token.of(2, 9) }, 'unknown'],
  ['the successor follows a newer term', { term: 2, isPrimary: false, received: Token.of(2, 10) }, 'unknown']
])('%s', (_name, status, receipt) => expect(Handover.receiptOf(COMMIT, status)).toBe(receipt))
