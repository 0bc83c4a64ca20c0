/** Guards against unfair, late or overcommitted admission to a slot. */

import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { CallerId } from '../id/caller.ts'
import type { Instant } from '../id/instant.ts'
import type { AdmissionAction } from './action.ts'
import { Admission } from './admission.ts'
import type { AdmissionEvent } from './event.ts'
import { Limits } from './limits.ts'

const [URGENT, NORMAL, BROWSING] = [0, 1, 2]

/** Drives an admission on a virtual clock and records its actions. */
class SlotDriver {
  now = 0
  started: number[] = []
  refused: Array<Extract<AdmissionAction, { kind: 'refuse' }>> = []
  opens = 0
  private nextId = 1

  constructor (readonly limits: Limits, readonly admission = Admission.create(limits), private readonly chance = () => 0) {}

  /** A slot with all its connections open and idle. */
  static warm (connections = 14, limits = Limits.of(connections)): SlotDriver {
    const it = new SlotDriver(limits.with({ opening: { ...limits.opening, most: connections, intervalMs: 0 } }))
    const ids = Array.from({ length: connections }, () => it.arrive({ rank: URGENT }))
    while (it.opens > 0) it.open()
    for (const id of ids) it.finish(id)
    return it
  }

  arrive ({ rank = NORMAL, caller = 'a', ms = 60_000, aimMs, isTransaction = false }: { rank?: number, caller?: string, ms?: number, aimMs?: number, isTransaction?: boolean } = {}): number {
    const id = this.nextId++
    const deadline = this.now + ms as Instant
    const aim = aimMs === undefined ? undefined : this.now + aimMs as Instant
    this.step({ kind: 'arrived', request: { id, rank, caller: caller as CallerId, deadline, aim, isTransaction } })
    return id
  }

  arriveMany (count: number, wish: Parameters<SlotDriver['arrive']>[0]): number[] {
    return Array.from({ length: count }, () => this.arrive(wish))
  }

  finish (id: number, isUsable = true): void {
    this.step({ kind: 'finished', id, isUsable })
  }

  open (): void {
    this.opens--
    this.step({ kind: 'opened' })
  }

  fail (): void {
    this.opens--
    this.step({ kind: 'openFailed' })
  }

  refuseOpening (): void {
    this.opens--
    this.step({ kind: 'openRefused' })
  }

  step (event: AdmissionEvent): void {
    for (const action of this.admission.step(event, this.now as Instant, this.chance())) {
      if (action.kind === 'start') this.started.push(action.id)
      else if (action.kind === 'refuse') this.refused.push(action)
      else this.opens++
    }
  }

  /** Returns what starts while the connections in use are returned one by one. */
  drain (running: number[], count: number): number[] {
    const before = this.started.length
    for (const id of running.slice(0, count)) {
      this.now++
      this.finish(id)
    }
    return this.started.slice(before)
  }
}

describe('classes', () => {
  it('starts the most urgent first, in any order of arrival', () => {
    const slot = SlotDriver.warm()
    const running = slot.arriveMany(14, { rank: URGENT })
    const [browsing, normal, urgent] = [BROWSING, NORMAL, URGENT].map(rank => slot.arrive({ rank }))
    expect(slot.drain(running, 9)).toEqual([urgent, normal, browsing])
  })

  it.each([[14, 10], [28, 20], [2, 2], [1, 1]])('of %i connections browsing uses at most %i and leaves the rest to others', (connections, most) => {
    const slot = SlotDriver.warm(connections)
    slot.started = []
    const ids = slot.arriveMany(connections, { rank: BROWSING })
    expect(slot.started).toEqual(ids.slice(0, most))
    const urgent = slot.arrive({ rank: URGENT })
    expect(slot.started.includes(urgent)).toBe(most < connections)
  })

  it('gives one start in seventeen to a waiting lower class', () => {
    const slot = SlotDriver.warm()
    const running = slot.arriveMany(14, { rank: URGENT })
    const browsing = slot.arrive({ rank: BROWSING })
    const urgent = slot.arriveMany(40, { rank: URGENT })
    const order = slot.drain([...running, ...urgent], 40)
    expect(order.indexOf(browsing)).toBe(16)
  })
})

/* Callers that leave transactions open would otherwise pin all connections of a slot. */
describe('pinned transactions', () => {
  it.each([[BROWSING, 3], [NORMAL, 8], [URGENT, 12]])('class %i pins at most %i of 14 connections', (rank, most) => {
    const slot = SlotDriver.warm()
    slot.started = []
    slot.arriveMany(20, { rank, isTransaction: true })
    expect(slot.started).toHaveLength(most)
    const statement = slot.arrive({ rank })
    expect(slot.started).toContain(statement)
  })
})

/* A burst of one caller must not delay a single request of another. */
describe('fair sharing', () => {
  it('serves a second caller in its turn, before the rest of the first one\'s burst', () => {
    const slot = SlotDriver.warm()
    const running = slot.arriveMany(14, { rank: URGENT, caller: 'greedy' })
    slot.arriveMany(100, { rank: URGENT, caller: 'greedy' })
    const modest = slot.arrive({ rank: URGENT, caller: 'modest' })
    expect(slot.drain(running, 4)).toContain(modest)
  })

  it('charges connection time, so that long statements get fewer turns', () => {
    const slot = SlotDriver.warm(1)
    const first = slot.arrive({ caller: 'long' })
    const long = slot.arriveMany(3, { caller: 'long' })
    const short = slot.arriveMany(3, { caller: 'short' })
    slot.now += 100
    const order = slot.drain([first, ...short, ...long], 4)
    expect(order.slice(0, 3)).toEqual(short)
  })

  it('evicts the greedy caller\'s newest request when the queue is full', () => {
    const slot = SlotDriver.warm(14, Limits.of(14).with({ maxQueued: 20 }))
    slot.arriveMany(12, { caller: 'greedy' })
    const greedy = slot.arriveMany(20, { caller: 'greedy' })
    slot.arrive({ caller: 'modest' })
    expect(slot.refused.map(one => one.id)).toEqual([greedy.at(-1)])
    expect(slot.admission.queued).toBe(20)
  })
})

describe('deadlines', () => {
  it('refuses on arrival what can\'t be served in time, with a retry-after time', () => {
    const slot = SlotDriver.warm()
    slot.arriveMany(14, {})
    slot.arriveMany(1000, { ms: 60_000 })
    const late = slot.arrive({ ms: 100 })
    expect(slot.refused).toMatchObject([{ id: late, reason: 'busy' }])
    expect(slot.refused[0]!.retryAfterMs).toBeGreaterThan(100)
  })

  it('spreads retry-after times', () => {
    const slot = SlotDriver.warm()
    slot.arriveMany(14, {})
    slot.arriveMany(1000, { ms: 60_000 })
    slot.arriveMany(500, { ms: 100 })
    const times = slot.refused.map(one => one.retryAfterMs)
    expect(new Set(times).size).toBeGreaterThan(400)
  })

  it('refuses a request as soon as it can\'t meet its deadline', () => {
    const slot = SlotDriver.warm()
    slot.arriveMany(14, {})
    const ids = slot.arriveMany(50, { ms: 1000 })
    slot.now += 600
    slot.step({ kind: 'tick' })
    expect(slot.refused.length).toBeGreaterThan(0)
    expect(ids).toContain(slot.refused[0]!.id)
  })
})

/* Time without requests must not count as a stall, which would refuse a burst at an idle endpoint. */
it.each([
  ['a slot that is warm', () => SlotDriver.warm()],
  ['a slot without connections', () => new SlotDriver(Limits.of(14))]
])('idle time isn\'t a stall: %s accepts a sudden burst', (_, create) => {
  const slot = create()
  slot.now += 60_000
  slot.arriveMany(32, { ms: 5000 })
  expect(slot.refused).toEqual([])
})

/* After an outage the endpoint must not be met by all openings at once, and requests must not wait for connections that never come. */
describe('openings', () => {
  it('has at most four in progress, five milliseconds apart', () => {
    const slot = new SlotDriver(Limits.of(14))
    slot.arriveMany(14, {})
    expect(slot.opens).toBe(1)
    for (let i = 0; i < 10; i++, slot.now += 5) slot.step({ kind: 'tick' })
    expect(slot.opens).toBe(4)
  })

  it('waits while the endpoint accepts no more connections, and retries soon', () => {
    // An endpoint at its connection limit isn't a failure: its connections become free within milliseconds.
    const slot = new SlotDriver(Limits.of(2))
    const id = slot.arrive({ ms: 800 })
    for (let i = 0; i < 5; i++) {
      slot.refuseOpening()
      slot.now += 50
      slot.step({ kind: 'tick' })
    }
    expect([slot.refused, slot.opens]).toEqual([[], 1])
    slot.open()
    expect(slot.started).toEqual([id])
  })

  it('starts a request on a vacant place, and backs off when its connection can\'t be opened', () => {
    // If a vacant place counted as an open connection, each request to a dead endpoint would wait for a connection attempt.
    const slot = new SlotDriver(Limits.of(2))
    const id = slot.arrive()
    slot.step({ kind: 'opened', isVacant: true })
    expect(slot.started).toEqual([id])
    slot.finish(id, false)
    slot.step({ kind: 'dialFailed' })
    slot.arrive()
    expect(slot.refused).toMatchObject([{ reason: 'unreachable', retryAfterMs: 25 }])
  })

  it('keeps requests waiting when the connection for a started request is rejected', () => {
    const slot = new SlotDriver(Limits.of(2))
    const id = slot.arrive({ ms: 800 })
    slot.step({ kind: 'opened', isVacant: true })
    slot.finish(id, false)
    slot.step({ kind: 'dialRefused' })
    const again = slot.arrive({ ms: 800 })
    slot.now += 50
    slot.step({ kind: 'tick' })
    slot.step({ kind: 'opened', isVacant: true })
    expect([slot.refused, slot.started]).toEqual([[], [id, again]])
  })

  it('starts another request on the connection that a started request didn\'t need', () => {
    const slot = SlotDriver.warm(1, Limits.of(2))
    slot.arrive()
    const second = slot.arrive()
    slot.step({ kind: 'added' })
    expect(slot.started.at(-1)).toBe(second)
  })

  it('refuses at once while no connection can be opened, backs off, and retries', () => {
    const slot = new SlotDriver(Limits.of(14))
    slot.arrive()
    const waits: number[] = []
    for (let i = 0; i < 7; i++) {
      slot.fail()
      waits.push(slot.refused.at(-1)!.retryAfterMs)
      slot.arrive()
      expect(slot.refused.at(-1)).toMatchObject({ reason: 'unreachable', retryAfterMs: waits[i] })
      slot.now += waits[i]!
      slot.arrive()
      expect(slot.opens).toBe(1)
    }
    expect(waits).toEqual([25, 50, 100, 200, 400, 500, 500])
  })
})

const steps = fc.array(fc.record({
  act: fc.constantFrom('arrive', 'arrive', 'finish', 'break', 'open', 'fail', 'cancel', 'tick'),
  pick: fc.nat(1000),
  rank: fc.nat(2),
  caller: fc.constantFrom('a', 'b', 'c'),
  ms: fc.integer({ min: 0, max: 300 }),
  isTransaction: fc.boolean(),
  wait: fc.nat(30)
}), { maxLength: 300 })

it('in any order of events: one answer each, no connection used twice, no limit exceeded', () => {
  fc.assert(fc.property(steps, all => {
    const limits = Limits.of(6).with({ maxQueued: 12 })
    const slot = new SlotDriver(limits)
    const cancelled = new Set<number>()
    const running = new Set<number>()
    const arrived: number[] = []
    for (const one of all) {
      slot.now += one.wait
      const live = [...running]
      const id = live[one.pick % Math.max(1, live.length)]
      if (one.act === 'arrive') arrived.push(slot.arrive(one))
      else if (one.act === 'tick') slot.step({ kind: 'tick' })
      else if (one.act === 'open' && slot.opens > 0) slot.open()
      else if (one.act === 'fail' && slot.opens > 0) slot.fail()
      else if (one.act === 'cancel' && arrived.length > 0) {
        const target = arrived[one.pick % arrived.length]!
        if (!slot.started.includes(target) && !slot.refused.some(other => other.id === target)) cancelled.add(target)
        slot.step({ kind: 'cancelled', id: target })
      } else if (id !== undefined && (one.act === 'finish' || one.act === 'break')) {
        running.delete(id)
        slot.started = slot.started.filter(other => other !== id)
        slot.finish(id, one.act === 'finish')
        cancelled.add(id)
      }
      for (const started of slot.started) running.add(started)
      const { counts } = slot.admission
      expect(running.size).toBe(counts.running)
      expect(counts.running + counts.idle + counts.pending).toBeLessThanOrEqual(limits.connections)
      expect(slot.admission.queued).toBeLessThanOrEqual(limits.maxQueued)
    }
    slot.now += 1000
    slot.step({ kind: 'tick' })
    expect(slot.admission.queued).toBe(0)
    const answers = [...slot.started, ...slot.refused.map(one => one.id), ...cancelled].sort((a, b) => a - b)
    expect(answers).toEqual(arrived)
  }), { seed: 7, numRuns: 300 })
})

// In an overload every request would otherwise miss its soft deadline.
describe('soft deadlines', () => {
  it('requests before their soft deadline go first, in any order of arrival', () => {
    const slot = SlotDriver.warm(1)
    const [running] = slot.arriveMany(1, {})
    const late = slot.arrive({ ms: 1000, aimMs: 10 })
    slot.now += 20
    const fresh = slot.arrive({ ms: 1000, aimMs: 10 })
    expect(slot.drain([running!, fresh], 2)).toEqual([fresh, late])
  })

  it('a request past its soft deadline waits for at most half of its time while others are before theirs', () => {
    const slot = SlotDriver.warm(1)
    slot.arrive({})
    const late = slot.arrive({ ms: 1000, aimMs: 10 })
    slot.now += 501
    slot.arrive({ ms: 1000, aimMs: 10 })
    slot.step({ kind: 'tick' })
    expect(slot.refused.map(({ id }) => id)).toEqual([late])
  })
})
