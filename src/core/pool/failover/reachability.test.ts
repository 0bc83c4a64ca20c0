/** Guards against reads sent to an endpoint that doesn't answer, and against giving up one that is only slow. */

import { describe, expect, it } from 'vitest'
import type { Instant } from '../../id/instant.ts'
import { Reachability } from './reachability.ts'

/** Applies steps such as `?0` (request sent at 0), `+100` (answered), `-200` (failed) and `~0-300` (what was sent at 0 is out of time at 300). */
function reachability (...texts: string[]): Reachability {
  return texts.reduce((sum, text) => {
    const [time, until] = text.slice(1).split('-').map(Number) as [Instant, Instant]
    if (text[0] === '~') return sum.unanswered(time, until)
    const now = time
    if (text[0] === '?') return sum.asked(now)
    return text[0] === '+' ? sum.reached(now) : sum.failed(now)
  }, Reachability.none)
}

describe('an endpoint', () => {
  it.each<[string, string[], number, boolean, boolean]>([
    ['that got no request', [], 1000, false, false],
    ['that answers', ['?0', '+10'], 1000, false, false],
    ['that is slow', ['?0'], 249, false, false],
    ['that is silent', ['?0'], 250, true, false],
    ['that is silent while more requests are sent', ['?0', '?200'], 250, true, false],
    ['that failed once', ['-0'], 0, true, false],
    ['that is silent and refuses a new connection', ['?0', '-400'], 400, true, true],
    ['that failed twice', ['-0', '-10'], 10, true, true],
    ['that failed twice and is due for another attempt', ['-0', '-10'], 510, true, false],
    ['that answered after what is out of time was sent', ['+100', '~0-300', '~0-300', '?290'], 545, true, false],
    ['that answered before what is out of time was sent', ['+100', '~110-300', '~110-300'], 300, true, true],
    ['that answers again after something was out of time', ['+100', '~0-300', '+310'], 320, false, false],
    ['that answers again', ['-0', '-10', '+20'], 20, false, false]
  ])('%s', (_, texts, now, isSuspect, isUnreachable) => {
    const result = reachability(...texts)
    expect([result.isSuspect(now as Instant), result.isUnreachable(now as Instant)]).toEqual([isSuspect, isUnreachable])
  })
})
