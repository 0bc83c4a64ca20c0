/** When an endpoint is doubted, and when it counts as out of reach. */

import { describe, expect, it } from 'vitest'
import type { Instant } from '../../id/instant.ts'
import { Reachability } from './reachability.ts'

/** Plays texts such as `?0` (asked at 0), `+100` (reached) and `-200` (missed). */
function reachability (...texts: string[]): Reachability {
  return texts.reduce((sum, text) => {
    const now = Number(text.slice(1)) as Instant
    if (text[0] === '?') return sum.asked(now)
    return text[0] === '+' ? sum.reached(now) : sum.failed(now)
  }, Reachability.none)
}

describe('a contact', () => {
  it.each<[string, string[], number, boolean, boolean]>([
    ['never asked', [], 1000, false, false],
    ['answers', ['?0', '+10'], 1000, false, false],
    ['is slow', ['?0'], 249, false, false],
    ['is silent', ['?0'], 250, true, false],
    ['is silent while others are asked', ['?0', '?200'], 250, true, false],
    ['broke off once', ['-0'], 0, true, false],
    ['is silent, and a new connection fails', ['?0', '-400'], 400, true, true],
    ['broke off twice', ['-0', '-10'], 10, true, true],
    ['broke off twice, long ago', ['-0', '-10'], 510, true, false],
    ['answers again', ['-0', '-10', '+20'], 20, false, false]
  ])('%s', (_, texts, now, isDoubtful, isOut) => {
    const made = reachability(...texts)
    expect([made.isSuspect(now as Instant), made.isUnreachable(now as Instant)]).toEqual([isDoubtful, isOut])
  })
})
