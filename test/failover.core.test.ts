/** The failover monitor against a fake group on a virtual clock. No test here depends on real time. */

import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { EndpointId } from '../src/core/id/endpoint.ts'
import { World } from './failover/world.ts'

const SEED = 20261202
const RUNS = 150
const PROCESSES = ['p1', 'p2', 'p3']
const ENDPOINTS = ['e1', 'e2', 'e3']
const SEEDS = Array.from({ length: 20 }, (_, i) => i + 1)

const process_ = fc.constantFrom(...PROCESSES)
const endpoint = fc.constantFrom(...ENDPOINTS)
const node = fc.oneof(process_, endpoint)

const fault = fc.record({
  after: fc.integer({ min: 0, max: 1500 }),
  lasts: fc.integer({ min: 1, max: 2500 }),
  what: fc.oneof(
    fc.record({ kind: fc.constant('freeze' as const), node }),
    fc.record({ kind: fc.constant('cut' as const), from: node, to: node }),
    fc.record({ kind: fc.constant('cutBoth' as const), from: node, to: node }),
    fc.record({ kind: fc.constant('isolate' as const), node }),
    fc.record({ kind: fc.constant('lose' as const), share: fc.constantFrom(0.05, 0.2, 0.5) }),
    fc.record({ kind: fc.constant('leave' as const), endpoint })
  )
})
type Fault = typeof fault extends fc.Arbitrary<infer T> ? T : never

describe('any order of faults', () => {
  it(`keeps every acknowledged write and ends with one primary (seed ${SEED}, ${RUNS} runs)`, () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 1e9 }), fc.array(fault, { minLength: 1, maxLength: 8 }), (seed, faults) => {
      const world = new World(seed, 30)
      for (const one of faults) {
        world.run(one.after)
        begin(world, one)
      }
      world.run(12_000)
      expect(world.faults).toEqual([])
      expectSettled(world)
    }), { seed: SEED, numRuns: RUNS })
  })
})

describe('no promotion without a failed primary', () => {
  // A switch drops packets for a moment. Writes pause while the proxies agree
  // on a new primary, although the old one never failed.
  it.each(SEEDS)('a single miss (seed %i)', seed => {
    const world = new World(seed)
    for (const process of PROCESSES) world.cutBoth(process, 'e1')
    world.run(90)
    for (const process of PROCESSES) world.mendBoth(process, 'e1')
    world.run(5000)
    expect(world.promotions).toEqual([])
  })

  // The link of one slot owner to the primary is cut, or comes and goes. The
  // other owner reaches it all the time, so nothing is wrong with the primary.
  it.each(SEEDS)('one cut, then flapping link (seed %i)', seed => {
    const world = new World(seed)
    world.cutBoth('p1', 'e1')
    world.run(5000)
    for (let i = 0; i < 20; i++) {
      world.mendBoth('p1', 'e1')
      world.run(170)
      world.cutBoth('p1', 'e1')
      world.run(330)
    }
    expect(world.promotions).toEqual([])
  })

  // A proxy is paused, a failover happens meanwhile, and it wakes up with old
  // timers and an old view. Its seals would stop the new primary.
  it.each(SEEDS)('a monitor that is woken after the failover (seed %i)', seed => {
    const world = new World(seed)
    world.network.freeze('e1')
    world.network.freeze('p1')
    for (let i = 0; i < 1000 && world.isCalm('p2'); i++) world.run(1)
    expect(world.isCalm('p2')).toBe(false)
    world.network.freeze('p2')
    world.network.wake('p1')
    world.run(4000)
    expect(world.promotions).toHaveLength(1)
    world.network.wake('p2')
    world.run(4000)
    expect(world.promotions).toHaveLength(1)
  })

  // A proxy is paused while all is well. When it wakes, all that it knows is
  // old: it looks as if nothing was copied and nobody was primary for seconds.
  it.each(SEEDS)('a monitor that is woken while all is well (seed %i)', seed => {
    const world = new World(seed)
    for (const process of ['p1', 'p3']) {
      world.network.freeze(process)
      world.run(3000)
      world.network.wake(process)
      world.run(1000)
    }
    expect(world.promotions).toEqual([])
  })

  // One process loses its links to everything but one replica. It can't win,
  // and must not raise the term of the one server that it reaches.
  it.each(SEEDS)('a process that reaches one replica only (seed %i)', seed => {
    const world = new World(seed)
    for (const other of ['p1', 'p2', 'e1', 'e2']) world.cutBoth('p3', other)
    world.run(10_000)
    expect(world.promotions).toEqual([])
    expect(world.endpoints.get('e3')!.term).toBe(1)
  })
})

describe('a failed primary is replaced once', () => {
  it.each(SEEDS)('killed for good (seed %i)', seed => {
    const world = new World(seed)
    world.network.kill('e1')
    world.run(2000)
    expect(world.promotions).toHaveLength(1)
    expectAcknowledging(world)
  })

  // The primary dies, and with it both processes that probed it. Nobody who
  // is left ever misses a probe of it; writes would stay refused for good.
  it.each(SEEDS)('together with both owners of its slots (seed %i)', seed => {
    const world = new World(seed)
    for (const one of ['e1', 'p1', 'p2']) world.network.kill(one)
    world.run(5000)
    expect(world.promotions).toHaveLength(1)
    expectAcknowledging(world)
  })

  // A proposer seals the group and dies before it promotes. Every server is
  // alive and answers its probes, so nobody misses one; all refuse writes.
  it.each(SEEDS)('sealed by a proposer that died (seed %i)', seed => {
    const world = new World(seed)
    for (const one of world.endpoints.values()) one.seal(2, 'dead')
    world.run(4000)
    expect(world.primary).toBeDefined()
    expectAcknowledging(world)
  })

  // The answers of the servers are lost: seals and the promotion take effect
  // and nobody hears of it. Whoever asks next finds what was done.
  it.each(SEEDS)('verbs that took effect with their answers lost (seed %i)', seed => {
    const world = new World(seed)
    world.network.kill('e1')
    world.run(280)
    for (const process of PROCESSES) for (const one of ENDPOINTS) world.network.cut(one, process)
    world.run(600)
    for (const process of PROCESSES) for (const one of ENDPOINTS) world.network.mend(one, process)
    world.run(5000)
    expect(world.faults).toEqual([])
    expectAcknowledging(world)
  })

  // The primary is cut off from its replicas and from one proxy; callers of
  // the other proxies keep writing to it. It comes back with a tail of writes
  // that nobody else has, and must drop it and follow.
  it.each(SEEDS)('cut off with a tail, then back (seed %i)', seed => {
    const world = new World(seed)
    for (const other of ['e2', 'e3', 'p1', 'p2']) world.cutBoth('e1', other)
    world.run(5000)
    const old = world.endpoints.get('e1')!
    expect(world.primary!.id).not.toBe('e1')
    for (const other of ['e2', 'e3', 'p1', 'p2']) world.mendBoth('e1', other)
    world.run(3000)
    expect(world.faults).toEqual([])
    expect([old.role, old.log]).toEqual(['replica', world.primary!.log.slice(0, old.log.length)])
  })

  // A partition separates the primary from its replicas, while all proxies
  // reach it. Its probes are answered, but no write gets a confirmation.
  it.each(SEEDS)('cut off from its replicas only (seed %i)', seed => {
    const world = new World(seed)
    for (const other of ['e2', 'e3']) world.cutBoth('e1', other)
    world.run(2000)
    expect(world.promotions).toHaveLength(1)
    expect(world.primary!.id).not.toBe('e1')
    expectAcknowledging(world)
    for (const other of ['e2', 'e3']) world.mendBoth('e1', other)
    world.run(2000)
    expect(world.endpoints.get('e1')!.role).toBe('replica')
    expectAcknowledging(world)
  })

  // The replica that would be chosen lags, and the other one has what was
  // acknowledged. The longer log wins, whichever answers first.
  it.each(SEEDS)('with a replica that lags (seed %i)', seed => {
    const world = new World(seed)
    world.cutBoth('e1', 'e3')
    world.run(1000)
    world.network.kill('e1')
    world.run(3000)
    expect(world.promotions.map(one => one.endpoint)).toEqual(['e2'])
    expect(world.faults).toEqual([])
  })

  it.each(SEEDS)('two failures one after the other (seed %i)', seed => {
    const world = new World(seed)
    world.network.freeze('e1')
    world.run(2000)
    const second = world.primary!.id
    world.network.wake('e1')
    world.run(1000)
    world.network.kill(second)
    world.run(3000)
    expect(world.promotions).toHaveLength(2)
    expectAcknowledging(world)
  })
})

describe('a planned hand-over', () => {
  // A host is taken down on purpose. Its primary should pass on its work with
  // every write that was under way, not be found missing.
  it.each(SEEDS)('moves the primary once and loses nothing (seed %i)', seed => {
    const world = new World(seed)
    world.tell('e1', { kind: 'leaving', endpoint: 'e1' as EndpointId })
    world.run(1000)
    expect(world.promotions).toHaveLength(1)
    expect(world.primary!.id).not.toBe('e1')
    world.run(1000)
    expect(world.endpoints.get('e1')!.role).toBe('replica')
    expectAcknowledging(world)
  })

  it.each(SEEDS)('is left to the failover when the replicas are cut off (seed %i)', seed => {
    const world = new World(seed)
    for (const other of ['e2', 'e3']) world.cutBoth('e1', other)
    world.run(300)
    world.tell('e1', { kind: 'leaving', endpoint: 'e1' as EndpointId })
    world.run(3000)
    for (const other of ['e2', 'e3']) world.mendBoth('e1', other)
    world.run(6000)
    expect(world.primary!.id).not.toBe('e1')
    expectAcknowledging(world)
  })
})

function begin (world: World, { what, lasts }: Fault): void {
  const later = (run: () => void): void => world.network.after(lasts, 'nobody', run)
  switch (what.kind) {
    case 'freeze':
      world.network.freeze(what.node)
      return later(() => world.network.wake(what.node))
    case 'cut':
      world.network.cut(what.from, what.to)
      return later(() => world.network.mend(what.from, what.to))
    case 'cutBoth':
      world.cutBoth(what.from, what.to)
      return later(() => world.mendBoth(what.from, what.to))
    case 'isolate':
      for (const other of [...PROCESSES, ...ENDPOINTS]) world.cutBoth(what.node, other)
      return later(() => { for (const other of [...PROCESSES, ...ENDPOINTS]) world.mendBoth(what.node, other) })
    case 'lose':
      world.network.loss = what.share
      return later(() => { world.network.loss = 0 })
    case 'leave':
      world.tell(what.endpoint, { kind: 'leaving', endpoint: what.endpoint as EndpointId })
      return later(() => world.tell(what.endpoint, { kind: 'staying', endpoint: what.endpoint as EndpointId }))
  }
}

/** One primary, everybody knows it and follows it, and writes are acknowledged. */
function expectSettled (world: World): void {
  const { primary } = world
  expect(primary).toBeDefined()
  expect(new Set(world.views)).toEqual(new Set([primary!.id]))
  for (const one of world.endpoints.values()) {
    expect([one.id, one.term, one.role]).toEqual([one.id, primary!.term, one === primary ? 'primary' : 'replica'])
  }
  expectAcknowledging(world)
}

function expectAcknowledging (world: World): void {
  const before = world.acknowledged.length
  world.run(500)
  expect(world.acknowledged.length).toBeGreaterThan(before)
  expect(world.acknowledged.every(({ write }) => world.primary!.holds(write))).toBe(true)
  expect(world.faults).toEqual([])
}
