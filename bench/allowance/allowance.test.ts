/** What teams get of their allowances, and no more, while the hosts that issue are killed, cut off, frozen and replaced; and the check itself. */

import { expect, it } from 'vitest'
import { mix } from '../../src/core/mix.ts'
import { AllowanceWorld } from './world.ts'

const SEEDS = Array.from({ length: 12 }, (_, i) => i + 1)
const HOSTS = 24
/** Teams that ask three times what they may, so that everything issued is used; one of them is small. */
const GREEDY = [{ perSecond: 60, burst: 20, load: 3 }, { perSecond: 2, burst: 2, load: 6 }]
const DAY_MS = 30_000
const FAULTS = 14

/** Faults at moments that the seed draws, above all at hosts that issue. */
async function play (world: AllowanceWorld, seed: number): Promise<AllowanceWorld> {
  let draws = 0
  const chance = () => mix(mix(seed * 7919) ^ ++draws) / 2 ** 32
  const pick = () => {
    const list = chance() < 0.8 ? world.issuers : world.hosts
    return list[Math.floor(chance() * list.length)]!
  }
  const forMs = () => 300 + chance() * 8000
  const faults: Array<() => void> = [
    () => world.kill(pick(), forMs()),
    () => world.kill(pick(), 100),
    () => world.freeze(pick(), forMs()),
    () => world.replace(pick()),
    () => world.turnAway(2 * forMs()),
    () => { for (let i = 0; i < 9; i++) world.agenda.add(i * 400, () => world.issuers.forEach(host => world.kill(host, 100))) },
    () => {
      const host = pick()
      host.isAlone = true
      world.agenda.add(forMs(), () => { host.isAlone = false })
    }
  ]
  for (let i = 0; i < FAULTS; i++) world.agenda.add(2000 + chance() * (DAY_MS - 4000), () => faults[Math.floor(chance() * faults.length)]!())
  await world.run(DAY_MS)
  return world
}

function worst (world: AllowanceWorld): number {
  return Math.max(...GREEDY.map((_, team) => world.worstShare(team)))
}

it('no team runs more than it may, whatever happens to those who issue', async () => {
  // A team's workers fill the databases although its limit says less, and others wait.
  // A host that issues is cut off and goes on, another takes its place; or it is started again and forgets what it issued.
  for (const seed of SEEDS) {
    const world = await play(new AllowanceWorld({ hosts: HOSTS, teams: GREEDY, seed }), seed)
    expect(worst(world), `seed ${seed}`).toBeLessThanOrEqual(1)
    expect(world.ran[0]!.length, `seed ${seed}`).toBeGreaterThan(100)
  }
}, 120_000)

it.each(['no wait', 'careless', 'full after a start', 'credit at each start', 'deep buckets'] as const)('the check finds a planted breach: %s', async breach => {
  let found = 0
  for (const seed of SEEDS) {
    const world = await play(new AllowanceWorld({ hosts: HOSTS, teams: GREEDY, seed, breach }), seed)
    if (worst(world) > 1) found++
    if (found > 0) break
  }
  expect(found).toBeGreaterThan(0)
}, 120_000)

it('nothing is refused below the limit, with nothing wrong and with an issuer gone', async () => {
  // A team that asks what it always asks is told to come back.
  const teams = [{ perSecond: 134, burst: 134, load: 0.625 }, ...Array.from({ length: 20 }, () => ({ perSecond: 5, burst: 5, load: 0.625 }))]
  const world = new AllowanceWorld({ hosts: 84, teams, seed: 5 })
  await world.run(10_000)
  const refusedShare = () => world.refused.reduce((sum, one) => sum + one, 0) / world.ran.reduce((sum, { length }) => sum + length, 0)
  expect(refusedShare()).toBeLessThan(0.001)
  world.kill(world.issuers[0]!, 60_000)
  await world.run(10_000)
  expect(refusedShare()).toBeLessThan(0.005)
}, 60_000)

it('a team whose allowance is raised gets all of it, and one whose allowance is lowered no more than that', async () => {
  // A team that was held to one operation a second is given sixty, and still gets ten.
  // Its tokens lay in one shard before and lie in twelve now, and the hosts that use them went on asking for the one.
  const world = new AllowanceWorld({ hosts: 24, teams: [{ perSecond: 1, burst: 1, load: 100 }], seed: 3 })
  const ranIn = async (ms: number) => {
    const before = world.ran[0]!.length
    await world.run(ms)
    return world.ran[0]!.length - before
  }
  await world.run(5000)
  world.limit(0, 60, 60)
  await world.run(1000)
  expect(await ranIn(5000)).toBeGreaterThan(60 * 5 * 0.9)
  world.limit(0, 1, 1)
  await world.run(5000)
  expect(await ranIn(5000)).toBeLessThanOrEqual((1 * 5 + 1) * 1.1 + 20)
}, 60_000)
