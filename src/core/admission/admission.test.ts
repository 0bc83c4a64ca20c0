/** Who is admitted to a slot, in which order, and who is refused with which time to come back. */

import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { CallerId } from '../id/caller.ts'
import type { Instant } from '../id/instant.ts'
import type { AdmissionAction } from './action.ts'
import { Admission } from './admission.ts'
import type { AdmissionEvent } from './event.ts'
import { Limits } from './limits.ts'

const [URGENT, NORMAL, BROWSING] = [0, 1, 2]

/** Drives an admission on a virtual clock and keeps what it ordered. */
class Drive {
  now = 0
  started: number[] = []
  refused: Array<Extract<AdmissionAction, { kind: 'refuse' }>> = []
  opens = 0
  private nextId = 1

  constructor (readonly limits: Limits, readonly admission = Admission.create(limits), private readonly chance = () => 0) {}

  /** A slot with all its connections open and idle. */
  static warm (connections = 14, limits = Limits.of(connections)): Drive {
    const it = new Drive(limits.with({ opening: { ...limits.opening, most: connections, intervalMs: 0 } }))
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

  many (count: number, wish: Parameters<Drive['arrive']>[0]): number[] {
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

  /** What starts when the connections in use are given back one by one. */
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
  it('starts the most urgent first, whatever came first', () => {
    const slot = Drive.warm()
    const running = slot.many(14, { rank: URGENT })
    const [browsing, normal, urgent] = [BROWSING, NORMAL, URGENT].map(rank => slot.arrive({ rank }))
    expect(slot.drain(running, 9)).toEqual([urgent, normal, browsing])
  })

  it.each([[14, 10], [28, 20], [2, 2], [1, 1]])('of %i connections browsing takes %i and the rest stay free for others', (connections, most) => {
    const slot = Drive.warm(connections)
    slot.started = []
    const ids = slot.many(connections, { rank: BROWSING })
    expect(slot.started).toEqual(ids.slice(0, most))
    const urgent = slot.arrive({ rank: URGENT })
    expect(slot.started.includes(urgent)).toBe(most < connections)
  })

  it('gives one start in seventeen to a lower class that waits', () => {
    const slot = Drive.warm()
    const running = slot.many(14, { rank: URGENT })
    const browsing = slot.arrive({ rank: BROWSING })
    const urgent = slot.many(40, { rank: URGENT })
    const order = slot.drain([...running, ...urgent], 40)
    expect(order.indexOf(browsing)).toBe(16)
  })
})

/*
 * A citizens' site opens transactions and leaves them open while people read.
 * Each holds its connection. Without a bound they hold all of them, and a
 * driver's confirmation waits for a citizen. Cause: pins last as long as a caller likes.
 */
describe('pinned transactions', () => {
  it.each([[BROWSING, 3], [NORMAL, 8], [URGENT, 12]])('class %i pins at most %i of 14 connections', (rank, most) => {
    const slot = Drive.warm()
    slot.started = []
    slot.many(20, { rank, isTransaction: true })
    expect(slot.started).toHaveLength(most)
    const statement = slot.arrive({ rank })
    expect(slot.started).toContain(statement)
  })
})

/*
 * One haulier's script sends a hundred requests at once; another haulier's
 * single request comes after them. First in, first out makes it wait for all
 * hundred. Cause: the queue doesn't look at who asks.
 */
describe('fair sharing', () => {
  it('lets a second caller wait for one turn, not for the first one\'s burst', () => {
    const slot = Drive.warm()
    const running = slot.many(14, { rank: URGENT, caller: 'greedy' })
    slot.many(100, { rank: URGENT, caller: 'greedy' })
    const modest = slot.arrive({ rank: URGENT, caller: 'modest' })
    expect(slot.drain(running, 4)).toContain(modest)
  })

  it('charges connection time, so long statements earn fewer turns', () => {
    const slot = Drive.warm(1)
    const first = slot.arrive({ caller: 'long' })
    const long = slot.many(3, { caller: 'long' })
    const short = slot.many(3, { caller: 'short' })
    slot.now += 100
    const order = slot.drain([first, ...short, ...long], 4)
    expect(order.slice(0, 3)).toEqual(short)
  })

  it('gives up the greedy caller\'s newest when the queue is full', () => {
    const slot = Drive.warm(14, Limits.of(14).with({ maxQueued: 20 }))
    slot.many(12, { caller: 'greedy' })
    const greedy = slot.many(20, { caller: 'greedy' })
    slot.arrive({ caller: 'modest' })
    expect(slot.refused.map(one => one.id)).toEqual([greedy.at(-1)])
    expect(slot.admission.queued).toBe(20)
  })
})

describe('deadlines', () => {
  it('refuses on arrival what the queue can\'t serve in time, and says when to come back', () => {
    const slot = Drive.warm()
    slot.many(14, {})
    slot.many(1000, { ms: 60_000 })
    const late = slot.arrive({ ms: 100 })
    expect(slot.refused).toMatchObject([{ id: late, reason: 'busy' }])
    expect(slot.refused[0]!.retryAfterMs).toBeGreaterThan(100)
  })

  it('spreads those it refuses over time', () => {
    const slot = Drive.warm()
    slot.many(14, {})
    slot.many(1000, { ms: 60_000 })
    slot.many(500, { ms: 100 })
    const times = slot.refused.map(one => one.retryAfterMs)
    expect(new Set(times).size).toBeGreaterThan(400)
  })

  it('gives up at once what became hopeless, long before its deadline', () => {
    const slot = Drive.warm()
    slot.many(14, {})
    const ids = slot.many(50, { ms: 1000 })
    slot.now += 600
    slot.step({ kind: 'tick' })
    expect(slot.refused.length).toBeGreaterThan(0)
    expect(ids).toContain(slot.refused[0]!.id)
  })
})

/*
 * The line is quiet for a minute, then thirty-two look-ups come at once, each with
 * a minute of time. More than half of them are refused although the endpoint is idle.
 * Cause: the minute of quiet was taken for a minute in which nothing could start.
 */
it.each([
  ['a slot that is warm', () => Drive.warm()],
  ['a slot without connections', () => new Drive(Limits.of(14))]
])('quiet isn\'t a stall: %s takes a sudden burst', (_, create) => {
  const slot = create()
  slot.now += 60_000
  slot.many(32, { ms: 5000 })
  expect(slot.refused).toEqual([])
})

/*
 * A server is down for a minute. Every slot owner tries to connect all the
 * time, and callers wait for connections that never come. When it's back, all
 * of them meet it at once. Cause: openings without pace, and no answer to those that wait.
 */
describe('openings', () => {
  it('has at most four under way, five milliseconds apart', () => {
    const slot = new Drive(Limits.of(14))
    slot.many(14, {})
    expect(slot.opens).toBe(1)
    for (let i = 0; i < 10; i++, slot.now += 5) slot.step({ kind: 'tick' })
    expect(slot.opens).toBe(4)
  })

  it('waits while the endpoint takes no more connections, and tries again soon', () => {
    // Callers are refused for a second after all hosts came back, though connections become free every few milliseconds.
    // The endpoint turns an opening away since others hold its connections; that counted as a failure, each longer than the last.
    const slot = new Drive(Limits.of(2))
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

  it('opens the connection for a request that was started without one, and backs off when that fails', () => {
    // A team's statements are sent to a database that is down, one after the other, each of them waiting for the whole time of an opening.
    // Room for a connection counted as an open one, so nothing was refused early.
    const slot = new Drive(Limits.of(2))
    const id = slot.arrive()
    slot.step({ kind: 'opened', isVacant: true })
    expect(slot.started).toEqual([id])
    slot.finish(id, false)
    slot.step({ kind: 'dialFailed' })
    slot.arrive()
    expect(slot.refused).toMatchObject([{ reason: 'unreachable', retryAfterMs: 25 }])
  })

  it('leaves what waits waiting when the connection for a started request is turned away', () => {
    const slot = new Drive(Limits.of(2))
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

  it('starts another on the connection that a started request left alone', () => {
    const slot = Drive.warm(1, Limits.of(2))
    slot.arrive()
    const second = slot.arrive()
    slot.step({ kind: 'added' })
    expect(slot.started.at(-1)).toBe(second)
  })

  it('refuses at once while no connection can be had, backs off, and tries again', () => {
    const slot = new Drive(Limits.of(14))
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

it('in any order of events: one answer each, no connection lent twice, nothing over its bound', () => {
  fc.assert(fc.property(steps, all => {
    const limits = Limits.of(6).with({ maxQueued: 12 })
    const slot = new Drive(limits)
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

// In an overload everybody waits for as long as the queue is: longer than their aim, so what is carried serves nobody well.
describe('aims', () => {
  it('who can still make it goes before who can\'t, whoever came first', () => {
    const slot = Drive.warm(1)
    const [running] = slot.many(1, {})
    const late = slot.arrive({ ms: 1000, aimMs: 10 })
    slot.now += 20
    const fresh = slot.arrive({ ms: 1000, aimMs: 10 })
    expect(slot.drain([running!, fresh], 2)).toEqual([fresh, late])
  })

  it('who missed it, while others can make theirs, waits for half of its time and no longer', () => {
    const slot = Drive.warm(1)
    slot.arrive({})
    const late = slot.arrive({ ms: 1000, aimMs: 10 })
    slot.now += 501
    slot.arrive({ ms: 1000, aimMs: 10 })
    slot.step({ kind: 'tick' })
    expect(slot.refused.map(({ id }) => id)).toEqual([late])
  })
})
