/** When a slot is taken, kept and given back. */

import { describe, expect, it } from 'vitest'
import { decideTenure } from './tenure.ts'

type Standing = Parameters<typeof decideTenure>[0]

const standing = (change: Partial<Standing>): Standing =>
  ({ slots: 2, isHeld: false, isDue: true, others: 0, unknown: 0, hasSuccessor: true, ...change })

describe('decideTenure', () => {
  it.each<[string, Partial<Standing>, string]>([
    ['a free slot is taken', { others: 1 }, 'take'],
    ['one that its old owner still holds is waited for', { others: 2 }, 'wait'],
    ['so is one that somebody may hold who has not said yet', { others: 1, unknown: 1 }, 'wait'],
    ['a slot that falls to others is none of this host\'s', { isDue: false }, 'none'],
    ['a slot that is due is kept, whoever else holds one', { isHeld: true, others: 2 }, 'keep'],
    ['one that is not due any more is handed over', { isHeld: true, isDue: false }, 'handOver'],
    ['but not to a host that does not talk', { isHeld: true, isDue: false, hasSuccessor: false }, 'keep']
  ])('%s', (_, change, decision) => {
    expect(decideTenure(standing(change))).toBe(decision)
  })
})
