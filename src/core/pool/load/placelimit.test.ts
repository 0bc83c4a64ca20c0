/** How many places an owner uses, by what it knows of the others. */

import { describe, expect, it } from 'vitest'
import type { Instant } from '../../id/instant.ts'
import { PlaceLimit } from './placelimit.ts'
import { noReports } from './noreports.ts'

const at = (ms: number) => ms as Instant
const others = (owners: number, atWork: number, waiting: number) => ({ owners, atWork, waiting, answerMs: undefined, failing: 0 })
const noOthers = noReports.at('e' as never, at(0))

describe('of five places and three to spare', () => {
  it.each<[string, number, ReturnType<typeof others>, number]>([
    ['all, where the others have nothing', 1, others(3, 0, 0), 8],
    ['what the others leave', 2, others(3, 3, 0), 5],
    ['an equal share beside one with a long queue', 4, others(3, 8, 100), 2],
    ['one at least', 1, others(20, 8, 100), 1],
    ['its part, where all ask for more than there is', 8, others(1, 4, 4), 4],
    ['no more than the others leave at work', 100, others(3, 5, 0), 3]
  ])('%s', (_name, demand, heard, places) => expect(PlaceLimit.create(5, 0, at(0)).at(demand, heard, at(0))).toBe(places))

  it('two owners with a share of one and a half each use three together', () => {
    const limits = [0, 0.5].map(phase => PlaceLimit.create(2, phase, at(0)))
    for (let ms = 0; ms < 200; ms += 5) expect(limits.map(limit => limit.at(2, others(1, 1, 1), at(ms))).sort()).toEqual([1, 2])
  })
})

describe('an endpoint that refuses for want of room', () => {
  it('gets half as much, and then one more per interval', () => {
    // Owners whose reports aren't received use the places as well, so a full endpoint must not be asked for more again and again.
    const limit = PlaceLimit.create(5, 0, at(0))
    const used = (ms: number) => limit.at(20, others(1, 0, 0), at(ms))
    expect(used(0)).toBe(8)
    for (const ms of [10, 11, 12]) limit.backOff(at(ms))
    expect(used(20)).toBe(4)
    limit.backOff(at(120))
    expect([used(130), used(340), used(560)]).toEqual([2, 3, 4])
  })

  it('may change its number of places', () => {
    const limit = PlaceLimit.create(5, 0, at(0))
    limit.resize(2)
    expect(limit.at(20, others(1, 0, 0), at(0))).toBe(3)
  })
})

describe('without reports of other owners', () => {
  const after = (ms: (i: number) => number) => {
    const limit = PlaceLimit.create(5, 0, at(0))
    for (let i = 1; i <= 100; i++) limit.answered(ms(i), 1, at(i * 50))
    return limit.at(20, noOthers, at(5040))
  }

  it('it starts with few', () => expect(PlaceLimit.create(5, 0, at(0)).at(20, noOthers, at(0))).toBe(2))
  it('it takes half while answers come as fast as ever, since others may be there', () => expect(after(() => 20)).toBe(4))
  it('it goes down to one while they take longer', () => expect(after(i => 20 + i)).toBe(1))
})
