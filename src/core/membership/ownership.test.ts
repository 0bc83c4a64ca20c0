/** When a slot is taken, kept and given back. */

import { describe, expect, it } from 'vitest'
import { decideOwnership } from './ownership.ts'

type Standing = Parameters<typeof decideOwnership>[0]

const standing = (change: Partial<Standing>): Standing =>
  ({ slots: 2, isHeld: false, isAssigned: true, otherHolders: 0, unknownHolders: 0, hasSuccessor: true, ...change })

describe('decideTenure', () => {
  it.each<[string, Partial<Standing>, string]>([
    ['a free slot is taken', { otherHolders: 1 }, 'take'],
    ['one that its old owner still holds is waited for', { otherHolders: 2 }, 'wait'],
    ['so is one that somebody may hold who has not said yet', { otherHolders: 1, unknownHolders: 1 }, 'wait'],
    ['a slot that falls to others is none of this host\'s', { isAssigned: false }, 'none'],
    ['a slot that is due is kept, whoever else holds one', { isHeld: true, otherHolders: 2 }, 'keep'],
    ['one that is not due any more is handed over', { isHeld: true, isAssigned: false }, 'handOver'],
    ['but not to a host that does not talk', { isHeld: true, isAssigned: false, hasSuccessor: false }, 'keep']
  ])('%s', (_, change, decision) => {
    expect(decideOwnership(standing(change))).toBe(decision)
  })
})
