/** Where reads go while endpoints are bad, in virtual time: owners with reports of each other, and three endpoints of which the first is primary. */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { describe, expect, it } from 'vitest'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { EndpointId } from '../../id/endpoint.ts'
import type { GroupId } from '../../id/group.ts'
import type { Instant } from '../../id/instant.ts'
import { Token } from '../../token.ts'
import type { OthersLoad } from '../load/othersload.ts'
import { LogProgress } from './logprogress.ts'
import { ReadBalancer } from './readbalancer.ts'

type Health = 'well' | 'grey' | 'slow' | 'leaving'
type Change = readonly [at: number, endpoint: 'a' | 'b' | 'c', health: Health, forOwners?: number]
interface Read { readonly at: number, readonly owner: number, readonly endpoint: string, readonly isDone: boolean }

const IDS = ['a', 'b', 'c'] as const
const [OWNERS, EACH_MS, WORK_MS, REPORT_MS, FAILS, SLOW] = [4, 8, 20, 100, 0.45, 7.5]

/** Reads of `OWNERS` owners by turns. A change concerns the first `forOwners` owners, or all; `links`: whether reports arrive between two owners. */
function play (changes: readonly Change[], endMs: number, links: (a: number, b: number) => boolean = () => true, reads: Read[] = []): readonly Read[] {
  const generator = xoroshiro128plus(7)
  const chance = () => (generator.next() >>> 0) / 0x100000000
  const owners = Array.from({ length: OWNERS }, () => ReadBalancer.create())
  const answering: Array<{ readonly at: number, readonly answer: () => void }> = []
  const healthOf = (id: string, owner: number, now: number) => changes.findLast(([at, which, , forOwners = OWNERS]) => at <= now && which === id && owner < forOwners)?.[2] ?? 'well'
  for (let now = 0; now < endMs; now++) {
    answering.filter(({ at }) => at === now).forEach(({ answer }) => answer())
    if (now % REPORT_MS === 0) owners.forEach((owner, i) => owner.setOthersLoad(reportOf(owners.filter((_, j) => j !== i && links(i, j)), now as Instant)))
    if (now % EACH_MS !== 0) continue
    const owner = now / EACH_MS % OWNERS
    const endpoints = IDS.map(id => ({
      id: id as string as EndpointId, group: 'g' as GroupId, address: { ip: '10.0.0.1', port: 1 }, dataCentre: 'z' as DataCentreId, isLeaving: healthOf(id, owner, now) === 'leaving', isPrimary: id === 'a', places: 5
    }))
    const view = { endpoints, primary: 'a' as EndpointId, dataCentre: 'z' as DataCentreId, progress: LogProgress.empty, leftMs: 1000, queued: () => 0, needsNewConnection: () => false, isReachable: () => true, mayContain: () => true }
    owners[owner]!.evaluateHealth(view, now as Instant)
    const { endpoint } = owners[owner]!.place(view, Token.zero, new Set(), { now: now as Instant, age: now as Instant }, chance)!
    const health = healthOf(endpoint, owner, now)
    const isDone = health !== 'grey' || chance() >= FAILS
    const ended = owners[owner]!.health.sent(endpoint, 1, now as Instant)
    const ms = Math.ceil(WORK_MS * (0.5 + chance()) * (health === 'slow' ? SLOW : 1))
    answering.push({ at: now + ms, answer: () => ended(isDone ? 'done' : 'failed', now + ms as Instant) })
    reads.push({ at: now, owner, endpoint, isDone })
  }
  return reads
}

/** As the owners of the group would report it. */
function reportOf (others: readonly ReadBalancer[], now: Instant): OthersLoad {
  const reports = new Map(IDS.map(id => {
    const seen = others.map(({ health }) => ({ atWork: health.atWork(id as string as EndpointId), ms: health.responses(id as string as EndpointId).answerMs(now), failing: health.responses(id as string as EndpointId).failing(now) }))
    const times = seen.flatMap(({ ms }) => ms ?? [])
    const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
    const atWork = seen.reduce((sum, one) => sum + one.atWork, 0)
    return [id as string, { owners: others.length, atWork, waiting: 0, answerMs: times.length === 0 ? undefined : mean(times), failing: mean(seen.map(({ failing }) => failing)) }]
  }))
  return { at: id => reports.get(id)! }
}

/** The part of the reads from one instant to another that went to the endpoint. */
function part (reads: readonly Read[], endpoint: string, from: number, to: number, isCounted: (read: Read) => boolean = () => true): number {
  const there = reads.filter(read => read.at >= from && read.at < to && isCounted(read))
  return there.filter(read => read.endpoint === endpoint).length / there.length
}

describe('an endpoint that is bad', () => {
  it.each<Health>(['grey', 'slow'])('%s: it gets single reads after a second, and its part again within a second and a half of being well', health => {
    // Callers get errors, or answers that are late, for as long as an endpoint says that it's well and isn't.
    // A replica fails 45% of its reads, or is 7.5 times slower, from 2 s to 6 s; its health answers stay good.
    const reads = play([[2000, 'b', health], [6000, 'b', 'well']], 9000)
    expect(part(reads, 'b', 1000, 2000)).toBeGreaterThan(0.35)
    // Ten single reads a second, of 125.
    expect(part(reads, 'b', 3000, 6000)).toBeLessThan(0.1)
    expect(part(reads, 'b', 7500, 9000)).toBeGreaterThan(0.35)
  })

  it.each<Health>(['grey', 'slow'])('the whole group is %s: that is no outlier, and both replicas go on', health => {
    // Under a load that makes all of them slow, or a statement that fails everywhere, the group would lose the endpoints that carry it.
    const reads = play(IDS.map(id => [0, id, health] as const), 6000)
    for (const id of ['b', 'c']) expect(part(reads, id, 2000, 6000)).toBeGreaterThan(0.25)
  })

  it('the last good one turns bad: both bad ones serve, and the good one beside them', () => {
    // All reads fall upon one endpoint that is as bad as those that were put aside, or upon the primary alone.
    const reads = play([[1000, 'b', 'grey'], [3000, 'c', 'grey'], [5000, 'a', 'grey']], 9000)
    for (const id of ['b', 'c']) expect(part(reads, id, 7000, 9000)).toBeGreaterThan(0.25)
  })

  it('it leaves while it is put aside: of the two that stay none is', () => {
    // A replica that is put aside and leaves would count as the bad one, and the other replica as the last.
    const reads = play([[1000, 'b', 'grey'], [3000, 'b', 'leaving'], [4000, 'c', 'grey']], 7000)
    expect(part(reads, 'b', 3000, 7000)).toBe(0)
    expect(part(reads, 'c', 5000, 7000)).toBeGreaterThan(0.2)
  })

  it('two halves that judge differently: each goes by what its own callers get', () => {
    // A replica fails for the hosts on one side of a cut, and the other side would lose it as well, or the two would argue.
    const reads = play([[1000, 'b', 'grey', 2]], 6000, (a, b) => (a < 2) === (b < 2))
    // Ten single reads a second, of the 62 that these two owners get.
    expect(part(reads, 'b', 3000, 6000, ({ owner }) => owner < 2)).toBeLessThan(0.2)
    expect(part(reads, 'b', 3000, 6000, ({ owner }) => owner >= 2)).toBeGreaterThan(0.35)
  })

  it('one that starts anew under its id begins with its full part', () => {
    // What was known of the old process would keep reads from a new one that never failed.
    const it = ReadBalancer.create()
    const id = 'b' as EndpointId
    const look = (now: number) => it.evaluateHealth({ endpoints: IDS.map(one => ({ id: one as string as EndpointId, isLeaving: false }) as never), primary: 'a' as EndpointId }, now as Instant)
    for (let now = 0; now < 1000; now += 10) {
      it.health.sent(id, 1, now as Instant)('failed', now as Instant)
      look(now)
    }
    expect(it.health.part(id)).toBe(0)
    it.forget(id)
    look(1100)
    expect(it.health.part(id)).toBe(1)
  })
})
