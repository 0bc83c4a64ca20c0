/** Guards against statements that wait for a primary which isn't coming, or are refused although one is. */

import { describe, expect, it } from 'vitest'
import type { Instant } from '../../id/instant.ts'
import { FailoverEstimate } from './failoverestimate.ts'

const STEPS = {
  '-': (sum: FailoverEstimate, now: Instant) => sum.lost(now),
  '+': (sum: FailoverEstimate, now: Instant) => sum.back(now),
  '=': (sum: FailoverEstimate, now: Instant) => sum.replaced(now),
  '?': (sum: FailoverEstimate, now: Instant) => sum.claimed(now + 1, now),
  '!': (sum: FailoverEstimate) => sum.aborted()
} as const

/** Applies steps such as `-0` (lost at 0), `?300` (lease claimed), `!400` (failover aborted), `+500` (the same primary is back), `=900` (another endpoint leads). */
function estimate (texts: string): FailoverEstimate {
  return texts.split(' ').reduce((sum, text) => STEPS[text[0] as keyof typeof STEPS](sum, Number(text.slice(1)) as Instant), FailoverEstimate.none)
}

describe('a new primary is expected', () => {
  it.each<[string, string, number, number | undefined]>([
    ['not while there is a primary', '-0 +10', 20, undefined],
    ['after detection, objections and promotion', '-0', 0, 1450],
    ['sooner as time passes', '-0 ?300', 1000, 450 + 275],
    ['within one deviation once the mean has passed', '-0 ?300', 1450, 725],
    ['no later than the latest time', '-0 ?300', 2800, 100],
    ['no more after the latest time', '-0 ?300', 2900, undefined],
    ['not while no host claims the lease', '-0', 726, undefined],
    ['again once a host claims it', '-0 ?2000', 2000, 725],
    ['as claimed by a host that saw the loss first', '?0 -100', 1000, 725],
    ['not once a host objects', '-0 ?300 !400', 400, undefined],
    ['after the next claim', '-0 ?300 !400 ?1500', 1500, 725],
    ['not after a third claim', '-0 ?300 ?1500 ?2700', 2700, undefined],
    ['as claimed once when the same claim is reported twice', '-0 ?300 ?300 ?1500', 1500, 725],
    ['anew when a primary is lost that was back for longer than a lease', '-0 ?300 +500 -4000', 4000, 1450]
  ])('%s', (_, texts, now, left) => {
    expect(estimate(texts).remainingMs(now as Instant)).toBe(left)
  })

  it('after the mean duration of earlier failovers', () => {
    const seen = Array.from({ length: 30 }, (_, i) => `-${i * 10_000} ?${i * 10_000 + 100} =${i * 10_000 + 800}`).join(' ')
    expect(Math.round(estimate(`${seen} -300000`).remainingMs(300_000 as Instant)!)).toBe(800)
    expect(estimate(`${seen} -300000 ?300100`).remainingMs(301_300 as Instant)).toBeUndefined()
  })

  it('without sampling the duration of a planned handover', () => {
    expect(estimate('?0 -900 =950 -10000').remainingMs(10_000 as Instant)).toBe(1450)
  })

  it('not again each time an unstable primary is lost', () => {
    // The primary is out of reach for two of every three seconds; each loss would make statements wait for a successor that no host promotes.
    expect(estimate('-0 ?300 +2000 -3000').remainingMs(3000 as Instant)).toBeUndefined()
  })
})
