/**
 * Where reads go while endpoints are unhealthy, in virtual time: several owners that exchange load reports, and three endpoints, the first of which is
 * primary.
 */

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
const [OWNERS, READ_INTERVAL_MS, WORK_MS, REPORT_INTERVAL_MS, FAILURE_RATE, SLOW_FACTOR] = [4, 8, 20, 100, 0.45, 7.5]

/** Reads of `OWNERS` owners in turn. A change concerns the first `forOwners` owners, or all; `isConnected`: whether reports arrive between two owners. */
function simulate (changes: readonly Change[], endMs: number, isConnected: (a: number, b: number) => boolean = () => true, reads: Read[] = []): readonly Read[] {
  const generator = xoroshiro128plus(7)
  const chance = () => (generator.next() >>> 0) / 0x100000000
  const owners = Array.from({ length: OWNERS }, () => ReadBalancer.create())
  const pending: Array<{ readonly at: number, readonly answer: () => void }> = []
  const healthOf = (id: string, owner: number, now: number) => changes.findLast(([at, which, , forOwners = OWNERS]) => at <= now && which === id && owner < forOwners)?.[2] ?? 'well'
  for (let now = 0; now < endMs; now++) {
    pending.filter(({ at }) => at === now).forEach(({ answer }) => answer())
    if (now % REPORT_INTERVAL_MS === 0) owners.forEach((owner, i) => owner.setOthersLoad(reportOf(owners.filter((_, j) => j !== i && isConnected(i, j)), now as Instant)))
    if (now % READ_INTERVAL_MS !== 0) continue
    const owner = now / READ_INTERVAL_MS % OWNERS
    const endpoints = IDS.map(id => ({
      id: id as string as EndpointId, group: 'g' as GroupId, address: { ip: '10.0.0.1', port: 1 }, dataCentre: 'z' as DataCentreId, isLeaving: healthOf(id, owner, now) === 'leaving', isPrimary: id === 'a', places: 5
    }))
    const view = { endpoints, primary: 'a' as EndpointId, dataCentre: 'z' as DataCentreId, progress: LogProgress.empty, remainingMs: 1000, queued: () => 0, needsNewConnection: () => false, isReachable: () => true, mayContain: () => true }
    owners[owner]!.evaluateHealth(view, now as Instant)
    const { endpoint } = owners[owner]!.place(view, Token.zero, new Set(), { now: now as Instant, age: now as Instant }, chance)!
    const health = healthOf(endpoint, owner, now)
    const isDone = health !== 'grey' || chance() >= FAILURE_RATE
    const onEnd = owners[owner]!.health.sent(endpoint, 1, now as Instant)
    const ms = Math.ceil(WORK_MS * (0.5 + chance()) * (health === 'slow' ? SLOW_FACTOR : 1))
    pending.push({ at: now + ms, answer: () => onEnd(isDone ? 'done' : 'failed', now + ms as Instant) })
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

/** The fraction of the reads between two instants that went to the endpoint. */
function part (reads: readonly Read[], endpoint: string, from: number, to: number, isCounted: (read: Read) => boolean = () => true): number {
  const counted = reads.filter(read => read.at >= from && read.at < to && isCounted(read))
  return counted.filter(read => read.endpoint === endpoint).length / counted.length
}

describe('an unhealthy endpoint', () => {
  it.each<Health>(['grey', 'slow'])('%s: it gets single reads after a second, and its share again within a second and a half of its recovery', health => {
    // Callers must not keep getting errors or late answers from an endpoint whose own health check stays good. A replica fails 45% of its reads, or is 7.5
    // times slower, from 2 s to 6 s.
    const reads = simulate([[2000, 'b', health], [6000, 'b', 'well']], 9000)
    expect(part(reads, 'b', 1000, 2000)).toBeGreaterThan(0.35)
    // Ten single reads a second, of 125.
    expect(part(reads, 'b', 3000, 6000)).toBeLessThan(0.1)
    expect(part(reads, 'b', 7500, 9000)).toBeGreaterThan(0.35)
  })

  it.each<Health>(['grey', 'slow'])('the whole group is %s: there is no outlier, and both replicas stay in use', health => {
    // Where load or a failing statement affects all endpoints alike, ejecting some would overload the others.
    const reads = simulate(IDS.map(id => [0, id, health] as const), 6000)
    for (const id of ['b', 'c']) expect(part(reads, id, 2000, 6000)).toBeGreaterThan(0.25)
  })

  it('the last good one turns bad: all of them serve', () => {
    // Endpoints that are as bad as the last good one must not stay ejected, or all reads fall on that one or on the primary.
    const reads = simulate([[1000, 'b', 'grey'], [3000, 'c', 'grey'], [5000, 'a', 'grey']], 9000)
    for (const id of ['b', 'c']) expect(part(reads, id, 7000, 9000)).toBeGreaterThan(0.25)
  })

  it('it leaves while it is ejected: neither of the two that stay is ejected', () => {
    // An ejected replica that leaves must not count as the bad one, which would protect the next one from ejection.
    const reads = simulate([[1000, 'b', 'grey'], [3000, 'b', 'leaving'], [4000, 'c', 'grey']], 7000)
    expect(part(reads, 'b', 3000, 7000)).toBe(0)
    expect(part(reads, 'c', 5000, 7000)).toBeGreaterThan(0.2)
  })

  it('two halves of a partition: each goes by what its own callers get', () => {
    // An endpoint that fails only for hosts on one side of a partition must stay in use on the other.
    const reads = simulate([[1000, 'b', 'grey', 2]], 6000, (a, b) => (a < 2) === (b < 2))
    // Ten single reads a second, of the 62 that these two owners get.
    expect(part(reads, 'b', 3000, 6000, ({ owner }) => owner < 2)).toBeLessThan(0.2)
    expect(part(reads, 'b', 3000, 6000, ({ owner }) => owner >= 2)).toBeGreaterThan(0.35)
  })

  it('a new process under the same id begins with its full share', () => {
    // The health of an old process must not keep reads from a new one under the same id.
    const balancer = ReadBalancer.create()
    const id = 'b' as EndpointId
    const evaluate = (now: number) => balancer.evaluateHealth({ endpoints: IDS.map(one => ({ id: one as string as EndpointId, isLeaving: false }) as never), primary: 'a' as EndpointId }, now as Instant)
    for (let now = 0; now < 1000; now += 10) {
      balancer.health.sent(id, 1, now as Instant)('failed', now as Instant)
      evaluate(now)
    }
    expect(balancer.health.part(id)).toBe(0)
    balancer.forget(id)
    evaluate(1100)
    expect(balancer.health.part(id)).toBe(1)
  })
})
