/** The queue before an endpoint's places, in virtual time. */

import { describe, expect, it } from 'vitest'
import type { CallerId } from '../../id/caller.ts'
import type { Instant } from '../../id/instant.ts'
import { PlaceScheduler } from './placescheduler.ts'
import type { PlaceEvent } from './placeevent.ts'
import type { PlaceOrder } from './placeorder.ts'

/** A gate with so many places, and what it said: ids that started, and those refused as `-id`. */
class Bench {
  readonly gate = PlaceScheduler.create()
  readonly said: number[] = []
  now = 0

  constructor (public limit: number) {}

  step (event: PlaceEvent): this {
    for (const { kind, id } of this.gate.step(event, this.limit, this.now as Instant)) this.said.push(kind === 'start' ? id : -id)
    return this
  }

  /** `text`: the id, the rank, the caller, and what it is, if not `first`; as `7 0 red next`. */
  comes (text: string, leftMs = 1000): this {
    const [id, rank, caller, what = 'first'] = text.split(' ')
    return this.step({ kind: 'arrived', order: { id: Number(id), rank: Number(rank), caller: caller as CallerId, deadline: this.now + leftMs as Instant, what: what as PlaceOrder['what'] } })
  }

  allCome (...texts: string[]): this {
    for (const text of texts) this.comes(text)
    return this
  }

  /** After so long what holds a place gives it back, one after the other, until nothing is left. */
  drains (ms: number): this {
    for (let at = 0; at < this.said.length; at++) {
      if (this.said[at]! < 0) continue
      this.now += ms
      this.step({ kind: 'finished', id: this.said[at]!, ending: 'answered' })
    }
    return this
  }

  passes (ms: number, everyMs = 10): this {
    for (const end = this.now + ms; this.now < end;) {
      this.now += everyMs
      this.step({ kind: 'tick' })
    }
    return this
  }
}

describe('who gets the next place', () => {
  it.each<[string, string[], number[]]>([
    ['the higher class', ['1 1 a', '2 2 a', '3 1 a', '4 0 a'], [1, 4, 3, 2]],
    ['within a class a transaction that has begun', ['1 1 a', '2 1 a', '3 1 b next'], [1, 3, 2]],
    ['callers in turn', ['1 1 a', '2 1 a', '3 1 a', '4 1 b'], [1, 4, 2, 3]],
    ['openings at most each fourth while statements wait', ['1 1 a', '2 1 b opening', '3 1 c opening', '4 1 d', '5 1 e', '6 1 f', '7 1 g'], [1, 2, 4, 5, 6, 3, 7]],
    ['an opening of a class before statements of a lower one', ['1 1 a', '2 0 b opening', '3 0 c opening', '4 1 d'], [1, 2, 3, 4]]
  ])('%s', (_name, texts, order) => expect(new Bench(1).allCome(...texts).drains(5).said).toEqual(order))

  it('a lower class has a start after sixteen of others', () => {
    const bench = new Bench(1).allCome('1 0 a', '2 2 b', ...Array.from({ length: 30 }, (_, i) => `${i + 3} 0 a`)).drains(5)
    expect(bench.said.indexOf(2)).toBe(17)
  })

  it('as many start as there are places, and openings don\'t take all of them', () => {
    const bench = new Bench(5).allCome('1 1 a opening', '2 1 b opening', '3 1 c', '4 1 d', '5 1 e', '6 1 f')
    expect(bench.said).toEqual([1, 3, 4, 5, 6])
    expect([bench.gate.atWork, bench.gate.waiting]).toEqual([5, 1])
  })

  it('one that doesn\'t want its place any more is passed over', () => {
    expect(new Bench(1).allCome('1 1 a', '2 1 a', '3 1 a').step({ kind: 'cancelled', id: 2 }).drains(5).said).toEqual([1, 3])
  })
})

describe('what can\'t be in time', () => {
  it.each<[string, number, number[]]>([
    ['is refused as it comes', 10, [1, 2, -9]],
    ['is let in when its time does', 1000, [1, 2]]
  ])('%s', (_name, leftMs, said) => {
    const bench = new Bench(1).allCome('1 0 a', '2 0 a')
    bench.now += 40
    bench.step({ kind: 'finished', id: 1, ending: 'answered' }).allCome('3 0 a', '4 0 a').comes('9 0 a', leftMs)
    expect(bench.said).toEqual(said)
  })

  it('an endpoint that hangs', () => {
    // Callers wait for all of their time and more, though nothing moves at the endpoint.
    // It hangs with statements at all of its places; their own time ends, and so gives the places back; others wait behind them meanwhile.
    const bench = new Bench(2).allCome('1 1 a', '2 1 b', '3 1 a', '4 1 b').passes(1000)
    expect([...bench.said].sort((a, b) => a - b)).toEqual([-4, -3, 1, 2])
    for (const id of [1, 2]) bench.step({ kind: 'finished', id, ending: 'cutOff' })
    expect(bench.allCome('5 1 a', '6 1 b').said.slice(4)).toEqual([5, 6])
  })

  it('an endpoint that is out of reach ends all waiting', () => {
    expect(new Bench(1).allCome('1 1 a', '2 1 a', '3 1 b').step({ kind: 'unreachable' }).said).toEqual([1, -2, -3])
  })
})

describe('load that competes', () => {
  it('a hot team beside others', () => {
    // One team sends many times its usual, and the others' statements time out behind its own.
    // The endpoint takes all in the order in which they come.
    const bench = new Bench(1).allCome(...Array.from({ length: 12 }, (_, i) => `${i + 1} 1 hot`), '100 1 a', '101 1 b').drains(5)
    expect(bench.said.slice(0, 4)).toEqual([1, 100, 101, 2])
    expect(bench.said).toHaveLength(14)
  })

  it('a hot team uses what others leave', () => {
    expect(new Bench(4).allCome('1 1 hot', '2 1 hot', '3 1 hot', '4 1 hot').said).toEqual([1, 2, 3, 4])
  })

  it('a flood of the lowest class beside the urgent', () => {
    // An urgent statement waits for seconds behind a flood of long ones.
    // All of them have come before it; this host's places are full of them, and those of other hosts come free sooner.
    const bench = new Bench(2).allCome(...Array.from({ length: 20 }, (_, i) => `${i + 1} 2 a`), '50 0 b', '51 0 b')
    expect(bench.said).toEqual([1, 2, 50])
    expect(bench.drains(5).said.slice(3, 5)).toEqual([51, 3])
  })

  it('fewer places take nothing back, and more are used at once', () => {
    const bench = new Bench(3).allCome('1 1 a', '2 1 a', '3 1 a', '4 1 a')
    bench.limit = 1
    bench.step({ kind: 'finished', id: 1, ending: 'answered' })
    expect(bench.said).toEqual([1, 2, 3])
    bench.limit = 3
    expect(bench.step({ kind: 'tick' }).said).toEqual([1, 2, 3, 4])
  })
})
