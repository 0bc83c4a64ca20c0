/** Which position a read requires, by its maximum age and its session's own commits. */

import { describe, expect, it } from 'vitest'
import type { Instant } from '../../id/instant.ts'
import { Token } from '../../token.ts'
import { LogProgress } from './logprogress.ts'

/** Watermarks as `term:position@instant`. */
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
    ['the only watermark is too old', ['1:5@0'], '0:0', 1500, 2000, undefined],
    ['the oldest mark that is young enough', ['1:5@1000', '1:7@1200', '1:9@1400'], '0:0', 1500, 2000, '1:5'],
    ['the clock may be off by its tolerance', ['1:5@1000', '1:7@1200'], '0:0', 1000, 2000, '1:7'],
    ['the own commit is newer', ['1:5@1000'], '1:8', 1500, 2000, '1:8'],
    ['the own commit is of an earlier term, and covered or cut off', ['2:5@1000'], '1:8', 1500, 2000, '2:5'],
    ['the own commit is of a later term', ['1:5@1000'], '2:4', 1500, 2000, '2:4']
  ])('%s', (_, marks, own, ageMs, now, expected) => expect(required(marks, own, ageMs, now)).toBe(expected))

  it('a promotion discards the watermarks of earlier terms', () => {
    // A promotion may cut the log back, and a read that requires a position which no log contains any more would be refused everywhere. A host samples 1:9
    // and the primary fails; the successor's log ends at 1:7 and continues as 2:8.
    expect(required(['1:9@1000', '2:8@1100'], '0:0', 1500, 2000)).toBe('2:8')
  })

  it('an answer of a replaced primary is ignored', () => {
    expect(required(['2:8@1000', '1:9@1100'], '0:0', 1500, 2000)).toBe('2:8')
  })
})
