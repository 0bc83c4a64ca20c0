/** When another primary is expected, after what was seen of a loss. */

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

/** Plays texts such as `-0` (lost at 0), `?300` (the lease claimed), `!400` (come to nothing), `+500` (the same is back), `=900` (another leads). */
function estimate (texts: string): FailoverEstimate {
  return texts.split(' ').reduce((sum, text) => STEPS[text[0] as keyof typeof STEPS](sum, Number(text.slice(1)) as Instant), FailoverEstimate.none)
}

describe('a primary is expected', () => {
  it.each<[string, string, number, number | undefined]>([
    ['not while there is one', '-0 +10', 20, undefined],
    ['after doubt, asking and a promotion', '-0', 0, 1450],
    ['sooner as time goes on', '-0 ?300', 1000, 450 + 275],
    ['within a spread once it is due', '-0 ?300', 1450, 725],
    ['no longer than the latest', '-0 ?300', 2800, 100],
    ['not for ever', '-0 ?300', 2900, undefined],
    ['not while nobody claims', '-0', 726, undefined],
    ['again once somebody does', '-0 ?2000', 2000, 725],
    ['as claimed by a host that knew before', '?0 -100', 1000, 725],
    ['not once a host objects', '-0 ?300 !400', 400, undefined],
    ['after the next claim', '-0 ?300 !400 ?1500', 1500, 725],
    ['not after claim upon claim', '-0 ?300 ?1500 ?2700', 2700, undefined],
    ['as claimed once, though heard of twice', '-0 ?300 ?300 ?1500', 1500, 725],
    ['anew after a while with one', '-0 ?300 +500 -4000', 4000, 1450]
  ])('%s', (_, texts, now, left) => {
    expect(estimate(texts).remainingMs(now as Instant)).toBe(left)
  })

  it('in the time that those before took', () => {
    const seen = Array.from({ length: 30 }, (_, i) => `-${i * 10_000} ?${i * 10_000 + 100} =${i * 10_000 + 800}`).join(' ')
    expect(Math.round(estimate(`${seen} -300000`).remainingMs(300_000 as Instant)!)).toBe(800)
    expect(estimate(`${seen} -300000 ?300100`).remainingMs(301_300 as Instant)).toBeUndefined()
  })

  it('in no shorter time after an ordered handover', () => {
    expect(estimate('?0 -900 =950 -10000').remainingMs(10_000 as Instant)).toBe(1450)
  })

  it('no longer from a primary that comes and goes', () => {
    // Callers are held for their whole time, over and over, and then refused.
    // The primary is out of reach for two seconds of each three; every loss begins another wait for a successor that nobody makes.
    expect(estimate('-0 ?300 +2000 -3000').remainingMs(3000 as Instant)).toBeUndefined()
  })
})
