/** The queue for an endpoint's places, in virtual time. */

import { describe, expect, it } from 'vitest'
import type { CallerId } from '../../id/caller.ts'
import type { Instant } from '../../id/instant.ts'
import { PlaceScheduler } from './placescheduler.ts'
import type { PlaceEvent } from './placeevent.ts'
import type { PlaceOrder } from './placeorder.ts'

/** A scheduler with this many places, and its actions: ids that started, and refused ones as `-id`. */
class Simulation {
  readonly scheduler = PlaceScheduler.create()
  readonly results: number[] = []
  now = 0

  constructor (public limit: number) {}

  step (event: PlaceEvent): this {
    for (const { kind, id } of this.scheduler.step(event, this.limit, this.now as Instant)) this.results.push(kind === 'start' ? id : -id)
    return this
  }

  /** `text`: the id, the rank, the caller, and the kind, unless it's `first`; as `7 0 red next`. */
  arrives (text: string, leftMs = 1000): this {
    const [id, rank, caller, what = 'first'] = text.split(' ')
    return this.step({ kind: 'arrived', order: { id: Number(id), rank: Number(rank), caller: caller as CallerId, deadline: this.now + leftMs as Instant, what: what as PlaceOrder['what'] } })
  }

  allArrive (...texts: string[]): this {
    for (const text of texts) this.arrives(text)
    return this
  }

  /** Gives places back after this time, one after the other, until nothing is left. */
  drain (ms: number): this {
    for (let at = 0; at < this.results.length; at++) {
      if (this.results[at]! < 0) continue
      this.now += ms
      this.step({ kind: 'finished', id: this.results[at]!, ending: 'answered' })
    }
    return this
  }

  advance (ms: number, everyMs = 10): this {
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
    ['connection openings at most each fourth while statements wait', ['1 1 a', '2 1 b opening', '3 1 c opening', '4 1 d', '5 1 e', '6 1 f', '7 1 g'], [1, 2, 4, 5, 6, 3, 7]],
    ['a connection opening of a class before statements of a lower one', ['1 1 a', '2 0 b opening', '3 0 c opening', '4 1 d'], [1, 2, 3, 4]]
  ])('%s', (_name, texts, order) => expect(new Simulation(1).allArrive(...texts).drain(5).results).toEqual(order))

  it('a lower class has a start after sixteen of others', () => {
    const simulation = new Simulation(1).allArrive('1 0 a', '2 2 b', ...Array.from({ length: 30 }, (_, i) => `${i + 3} 0 a`)).drain(5)
    expect(simulation.results.indexOf(2)).toBe(17)
  })

  it('as many start as there are places, and connection openings don\'t take all of them', () => {
    const simulation = new Simulation(5).allArrive('1 1 a opening', '2 1 b opening', '3 1 c', '4 1 d', '5 1 e', '6 1 f')
    expect(simulation.results).toEqual([1, 3, 4, 5, 6])
    expect([simulation.scheduler.atWork, simulation.scheduler.waiting]).toEqual([5, 1])
  })

  it('a cancelled request is skipped', () => {
    expect(new Simulation(1).allArrive('1 1 a', '2 1 a', '3 1 a').step({ kind: 'cancelled', id: 2 }).drain(5).results).toEqual([1, 3])
  })
})

describe('what can\'t be in time', () => {
  it.each<[string, number, number[]]>([
    ['is refused when it arrives', 10, [1, 2, -9]],
    ['is accepted if there is enough time', 1000, [1, 2]]
  ])('%s', (_name, leftMs, results) => {
    const simulation = new Simulation(1).allArrive('1 0 a', '2 0 a')
    simulation.now += 40
    simulation.step({ kind: 'finished', id: 1, ending: 'answered' }).allArrive('3 0 a', '4 0 a').arrives('9 0 a', leftMs)
    expect(simulation.results).toEqual(results)
  })

  it('an endpoint that hangs', () => {
    // An endpoint that hangs must not keep callers waiting for all of their time. It hangs with statements at all of its places; these time out and free the
    // places, while others wait behind them.
    const simulation = new Simulation(2).allArrive('1 1 a', '2 1 b', '3 1 a', '4 1 b').advance(1000)
    expect([...simulation.results].sort((a, b) => a - b)).toEqual([-4, -3, 1, 2])
    for (const id of [1, 2]) simulation.step({ kind: 'finished', id, ending: 'cutOff' })
    expect(simulation.allArrive('5 1 a', '6 1 b').results.slice(4)).toEqual([5, 6])
  })

  it('all waiting requests are refused if the endpoint is unreachable', () => {
    expect(new Simulation(1).allArrive('1 1 a', '2 1 a', '3 1 b').step({ kind: 'unreachable' }).results).toEqual([1, -2, -3])
  })
})

describe('competing load', () => {
  it('a flood of one team beside others', () => {
    // One team's flood must not make the statements of others time out behind it.
    const simulation = new Simulation(1).allArrive(...Array.from({ length: 12 }, (_, i) => `${i + 1} 1 hot`), '100 1 a', '101 1 b').drain(5)
    expect(simulation.results.slice(0, 4)).toEqual([1, 100, 101, 2])
    expect(simulation.results).toHaveLength(14)
  })

  it('one team may use all places while no other needs them', () => {
    expect(new Simulation(4).allArrive('1 1 hot', '2 1 hot', '3 1 hot', '4 1 hot').results).toEqual([1, 2, 3, 4])
  })

  it('a flood of the lowest class beside urgent statements', () => {
    // An urgent statement must not wait behind a flood of long ones that came before it and hold all places of this host.
    const simulation = new Simulation(2).allArrive(...Array.from({ length: 20 }, (_, i) => `${i + 1} 2 a`), '50 0 b', '51 0 b')
    expect(simulation.results).toEqual([1, 2, 50])
    expect(simulation.drain(5).results.slice(3, 5)).toEqual([51, 3])
  })

  it('a lower limit stops no running statement, and a higher one is used at once', () => {
    const simulation = new Simulation(3).allArrive('1 1 a', '2 1 a', '3 1 a', '4 1 a')
    simulation.limit = 1
    simulation.step({ kind: 'finished', id: 1, ending: 'answered' })
    expect(simulation.results).toEqual([1, 2, 3])
    simulation.limit = 3
    expect(simulation.step({ kind: 'tick' }).results).toEqual([1, 2, 3, 4])
  })
})
