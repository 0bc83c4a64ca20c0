/** Which position a read must find, by its age and its session's own commits. */

import { describe, expect, it } from 'vitest'
import type { Instant } from '../../id/instant.ts'
import { Token } from '../../token.ts'
import { LogProgress } from './logprogress.ts'

/** Marks as `term:position@instant`. */
function progress (...marks: string[]): LogProgress {
  return marks.reduce((sum, text) => {
    const [token, at] = text.split('@') as [string, string]
    return sum.with(Token.parse(token)!, Number(at) as Instant)
  }, LogProgress.empty)
}

function required (marks: string[], own: string, ageMs: number, now: number): string | undefined {
  return progress(...marks).requiredPosition(Token.parse(own)!, ageMs, now as Instant)?.toString()
}

describe('the required position', () => {
  it.each<[string, string[], string, number, number, string | undefined]>([
    ['nothing is known', [], '0:0', 1500, 2000, undefined],
    ['the only mark is too old', ['1:5@0'], '0:0', 1500, 2000, undefined],
    ['the oldest mark that is young enough', ['1:5@1000', '1:7@1200', '1:9@1400'], '0:0', 1500, 2000, '1:5'],
    ['the clock may be off by its tolerance', ['1:5@1000', '1:7@1200'], '0:0', 1000, 2000, '1:7'],
    ['the own commit is newer', ['1:5@1000'], '1:8', 1500, 2000, '1:8'],
    ['the own commit is of an earlier term, and covered or cut off', ['2:5@1000'], '1:8', 1500, 2000, '2:5'],
    ['the own commit is of a later term', ['1:5@1000'], '2:4', 1500, 2000, '2:4']
  ])('%s', (_, marks, own, ageMs, now, expected) => expect(required(marks, own, ageMs, now)).toBe(expected))

  it('a promotion makes the marks before it worthless', () => {
    // A read is refused by every replica, and by the primary, for as long as its age allows.
    // A host samples 1:9; the primary dies with it; the successor's log ends at 1:7 and goes on as 2:8.
    // The sample stood for a position that no log holds any more.
    expect(required(['1:9@1000', '2:8@1100'], '0:0', 1500, 2000)).toBe('2:8')
  })

  it('a replaced primary that is asked later adds nothing', () => {
    expect(required(['2:8@1000', '1:9@1100'], '0:0', 1500, 2000)).toBe('2:8')
  })
})
