/** Guards against versions of the configuration that wait in line on the links of the hosts that ask the store, and callers' answers behind them. */

import { describe, expect, it } from 'vitest'
import { SyncTimings } from '../src/core/pool/membership/synctimings.ts'
import { ControlWorld } from './control/world.ts'
import type { ModelHost } from './control/host.ts'

const HOSTS = 82
const APPLY_MS = 2000
/** By then all have started, know each other and have found those whom they follow. */
const SETTLED_MS = 10_000
/** 10 Mbit/s at a share of 0.7. */
const LINK_BYTES_PER_MS = 875
/** 7 KB when compressed. */
const CONFIG_CHARACTERS = 70_000
const VERSIONS = 23
const INTERVAL_MS = 150
const { normalConfigAgeMs } = SyncTimings.of({ applyMs: APPLY_MS, drainMs: 10_000, historyMs: 20_000 })

function worldOf (earlier?: ReadonlySet<number>): ControlWorld {
  const world = new ControlWorld({ ...(earlier === undefined ? {} : { earlier }), hosts: HOSTS, dataCentres: 3, applyMs: APPLY_MS, seed: 5, seeds: 3, linkBytesPerMs: LINK_BYTES_PER_MS })
  world.run(SETTLED_MS)
  change(world)
  world.run(1000)
  world.longestQueueMs = 0
  for (const host of world.hosts) host.oldestMs = 0
  return world
}

function change (world: ControlWorld): number {
  const version = world.store.version + 1
  world.store.put('config', 'config', String(version).padEnd(CONFIG_CHARACTERS))
  return version
}

/** Milliseconds until all of the hosts have the version. */
function knownMs (world: ControlWorld, version: number, hosts: readonly ModelHost[] = world.hosts): number {
  const began = world.now
  while (hosts.some(({ config }) => config < version) && world.now - began < 60_000) world.run(5)
  return world.now - began
}

function storm (world: ControlWorld): number {
  let version = 0
  for (let i = 0; i < VERSIONS; i++) {
    version = change(world)
    world.run(INTERVAL_MS)
  }
  return version
}

function expectSound (hosts: readonly ModelHost[]): void {
  expect(hosts.filter(({ wentBack, wasWrong }) => wentBack || wasWrong).map(({ id }) => id)).toEqual([])
}

describe(`${HOSTS} hosts with links of 7 Mbit/s`, () => {
  it('a storm of versions leaves a queue of a few messages, and the newest one is known soon after it', () => {
    const world = worldOf()
    const version = storm(world)
    expect(knownMs(world, version)).toBeLessThan(300)
    expect(world.longestQueueMs).toBeLessThan(50)
    expect(Math.max(...world.hosts.map(({ oldestMs }) => oldestMs))).toBeLessThan(normalConfigAgeMs)
    expectSound(world.hosts)
  })

  it('a single version is known as soon as the link carries it', () => {
    const world = worldOf()
    expect(knownMs(world, change(world))).toBeLessThan(250)
    expectSound(world.hosts)
  })

  it('a storm beside hosts that are frozen', () => {
    const world = worldOf()
    const frozen = world.hosts.filter((host, i) => i % 4 === 0 && !world.hosts.some(other => world.sourcesOf(other).includes(host)))
    for (const host of frozen) host.freeze()
    const version = storm(world)
    const sound = world.hosts.filter(host => !frozen.includes(host))
    expect(knownMs(world, version, sound)).toBeLessThan(300)
    // Each frozen host is sent a message a second beside the others.
    expect(world.longestQueueMs).toBeLessThan(100)
    for (const host of frozen) host.thaw()
    expect(knownMs(world, version)).toBeLessThan(1000)
    expectSound(sound)
  })

  it.each<[string, (i: number) => boolean]>([
    ['every second host', i => i % 2 === 0],
    ['all but one in ten', i => i % 10 !== 0],
    ['one in ten', i => i % 10 === 0]
  ])('a storm while %s is of an earlier program version: all know the newest one in time', (_, isEarlier) => {
    const world = worldOf(new Set(Array.from({ length: HOSTS }, (_, i) => i).filter(isEarlier)))
    const version = storm(world)
    expect(knownMs(world, version)).toBeLessThan(APPLY_MS)
    expect(world.unreadable).toBe(0)
    expectSound(world.hosts)
  })
})
