/** Guards against acknowledging a commit of a leaving primary that its successor lacks. */

import { expect, it } from 'vitest'
import type { EndpointId } from '../../id/endpoint.ts'
import { Token } from '../../token.ts'
import { Handover } from './handover.ts'

const COMMIT = Token.of(1, 9)

// Guards against commits in doubt: a primary that leads again, in a later term, isn't tied to its successor of before.
it.each<[string, string, Token | undefined, boolean]>([
  ['a commit of the old primary', 'a', Token.of(3, 9), true],
  ['a commit of its at an unknown position', 'a', undefined, true],
  ['a commit of another endpoint', 'b', Token.of(3, 9), false],
  ['a commit of the old primary after it was promoted again', 'a', Token.of(4, 1), false]
])('%s: affected: %s', (_name, endpoint, commit, isAffected) => {
  const handover = Handover.of({ old: 'a' as EndpointId, successor: 'b' as EndpointId, term: 3 })
  expect(handover.affects(endpoint as EndpointId, commit)).toBe(isAffected)
})

it.each<[string, { term: number, isPrimary: boolean, received: Token }, string]>([
  ['the successor has it', { term: 1, isPrimary: false, received: Token.of(1, 9) }, 'received'],
  ['the successor has more', { term: 1, isPrimary: false, received: Token.of(1, 12) }, 'received'],
  ['the successor does not have it yet', { term: 1, isPrimary: false, received: Token.of(1, 8) }, 'missing'],
  ['the successor leads already, so its position includes its own commits', { term: 2, isPrimary: true, received: Token.of(2, 9) }, 'unknown'],
  ['the successor follows a newer term', { term: 2, isPrimary: false, received: Token.of(2, 10) }, 'unknown']
])('%s', (_name, status, receipt) => expect(Handover.receiptOf(COMMIT, status)).toBe(receipt))
