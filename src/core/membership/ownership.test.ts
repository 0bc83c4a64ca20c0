/** When a slot is taken, kept and handed over. */

import { describe, expect, it } from 'vitest'
import { decideOwnership } from './ownership.ts'

type SlotState = Parameters<typeof decideOwnership>[0]

const state = (change: Partial<SlotState>): SlotState =>
  ({ slots: 2, isHeld: false, isAssigned: true, otherHolders: 0, unknownHolders: 0, hasSuccessor: true, ...change })

describe('decideOwnership', () => {
  it.each<[string, Partial<SlotState>, string]>([
    ['takes a free slot', { otherHolders: 1 }, 'take'],
    ['waits for a slot that its old owner still holds', { otherHolders: 2 }, 'wait'],
    ['waits for a slot that a host may hold which has not reported yet', { otherHolders: 1, unknownHolders: 1 }, 'wait'],
    ['leaves a slot that is assigned to others', { isAssigned: false }, 'none'],
    ['keeps an assigned slot, whoever else holds one', { isHeld: true, otherHolders: 2 }, 'keep'],
    ['hands over a slot that is no longer assigned', { isHeld: true, isAssigned: false }, 'handOver'],
    ['keeps it while its successor is not linked', { isHeld: true, isAssigned: false, hasSuccessor: false }, 'keep']
  ])('%s', (_, change, decision) => {
    expect(decideOwnership(state(change))).toBe(decision)
  })
})
