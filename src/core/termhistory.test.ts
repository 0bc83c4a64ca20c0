/** Which positions of old terms are part of a log after a promotion. */

import { describe, expect, it } from 'vitest'
import { TermHistory } from './termhistory.ts'
import type { Position } from './id/position.ts'
import type { Term } from './id/term.ts'

const history = (...starts: ReadonlyArray<[number, number]>): TermHistory =>
  TermHistory.of(starts.map(([term, position]) => ({ term: term as Term, position: position as Position })))

describe('TermHistory', () => {
  it.each([
    [1, 10, true, 'the last position of a term that ended there'],
    [1, 11, false, 'past the fork'],
    [2, 11, true, 'of the next term'],
    [2, 99, true, 'of the term that goes on'],
    [0, 0, true, 'nothing written']
  ])('term %i position %i is held: %s (%s)', (term, position, isHeld) => {
    expect(history([1, 0], [2, 10]).contains(term as Term, position as Position)).toBe(isHeld)
  })

  it.each([
    [7, false, 'kept by term 4, dropped by term 5'],
    [6, true, 'kept by both']
  ])('position %i of term 2 is held: %s (%s)', (position, isHeld) => {
    expect(history([1, 0], [2, 5], [4, 8], [5, 6]).contains(2 as Term, position as Position)).toBe(isHeld)
  })

  it.each([
    [7, 2, 'short of the start of term 4'],
    [8, 4, 'at it'],
    [0, 1, 'empty']
  ])('a log of length %i holds the past of term %i (%s)', (length, term) => {
    expect(history([1, 0], [2, 5], [4, 8]).termAt(length as Position)).toBe(term)
  })
})
