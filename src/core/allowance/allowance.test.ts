/** Guards against more operations than an allowance permits, and against tokens lost to partitions and restarts. */

import { describe, expect, it } from 'vitest'
import type { HostId } from '../id/host.ts'
import type { Instant } from '../id/instant.ts'
import type { TeamId } from '../id/team.ts'
import { TokenBucket } from './tokenbucket.ts'
import { TokenIssuer } from './tokenissuer.ts'
import { IssuerTable } from './issuertable.ts'
import { IssuerLease } from './issuerlease.ts'
import { Shard } from './shard.ts'
import { IssuerBackOff } from './issuerbackoff.ts'
import { TeamTokens } from './teamtokens.ts'

const BOUNDS = { windowMs: 5000, overage: 0.1, slack: 20 }
const at = (ms: number): Instant => ms as Instant
const hosts = (count: number): HostId[] => Array.from({ length: count }, (_, i) => `h${i}` as HostId)

describe('a shard', () => {
  it.each([[134, 134], [5, 5], [1, 1], [0.1, 0], [2000, 10_000]])('%f a second, burst %d: all shards together stay within the bound', (perSecond, burst) => {
    const shard = Shard.of({ perSecond, burst }, BOUNDS)
    const most = shard.count * (shard.depth + shard.credit + shard.perMs * (BOUNDS.windowMs + shard.lifetimeMs))
    expect(most).toBeLessThanOrEqual((perSecond * 5 + burst) * 1.1 + 20 + 1e-9)
    expect(shard.depth).toBeGreaterThanOrEqual(1)
  })

  it.each([[0, 0, 0, 1], [2, 1, 0, 1], [2, 4, 0, 2], [5, 5, 20, 5], [134, 134, 20, 12]])('%d a second, burst %d, slack %d: %d shards, so that each holds two whole tokens', (perSecond, burst, slack, count) => {
    expect(Shard.of({ perSecond, burst }, { ...BOUNDS, slack }).count).toBe(count)
  })

  it('is issued at a place of its own, and the places differ from team to team', () => {
    const shard = Shard.of({ perSecond: 5, burst: 5 }, BOUNDS)
    const places = Array.from({ length: 50 }, (_, i) => shard.placesOf(`t${i}`, 24))
    expect(places.every(of => new Set(of).size === 5)).toBe(true)
    expect(new Set(places.map(of => of.join())).size).toBeGreaterThan(20)
  })
})

describe('a bucket', () => {
  // One shard: one token per second, and a depth of 1.6.
  const shard = Shard.of({ perSecond: 1, burst: 1 }, { ...BOUNDS, overage: 0, slack: 2 })
  const taken = (bucket: TokenBucket, wanted: number, ms: number) => bucket.take(wanted, at(ms)).taken

  it.each<[string, TokenBucket, number, number]>([
    ['is full if nobody issued before', TokenBucket.since(at(-Infinity), shard), 100, 1],
    ['is empty at its start', TokenBucket.since(at(0), shard), 0, 0],
    ['fills', TokenBucket.since(at(0), shard), 1500, 1],
    ['fills up to its depth', TokenBucket.since(at(0), shard), 60_000, 1],
    ['starts with its credit, which may be less than a token', TokenBucket.since(at(0), shard).withTokens(shard.credit, at(0)), 0, 0]
  ])('%s', (_name, bucket, ms, expected) => expect(taken(bucket, 10, ms)).toBe(expected))

  it('gives no more than is wanted, and says when the next one is available', () => {
    const { next } = TokenBucket.since(at(-Infinity), shard).take(1, at(0))
    expect(taken(next, 10, 0)).toBe(0)
    expect(next.nextMs(at(0))).toBe(400)
  })

  it('keeps its tokens when limits change, up to the new depth', () => {
    const full = TokenBucket.since(at(-Infinity), Shard.of({ perSecond: 300, burst: 300 }, BOUNDS))
    expect(taken(full.withShard(shard, at(0)), 10, 0)).toBe(1)
    expect(taken(TokenBucket.since(at(0), shard).withShard(Shard.of({ perSecond: 300, burst: 300 }, BOUNDS), at(0)), 10, 0)).toBe(0)
  })

  it('never has a token when the rate is zero and the burst is used up', () => {
    const none = Shard.of({ perSecond: 0, burst: 0 }, { ...BOUNDS, slack: 0 })
    expect(TokenBucket.since(at(0), none).nextMs(at(0))).toBe(Infinity)
  })
})

describe('the issuer table', () => {
  it.each([[1, 1], [7, 7], [84, 12], [300, 43], [2000, 286]])('for %d hosts has %d places', (count, expected) => {
    const { places } = IssuerTable.initial(hosts(count))
    expect([places.length, new Set(places.map(({ host }) => host)).size]).toEqual([expected, expected])
  })

  it('is decoded as it was encoded', () => {
    const table = IssuerTable.initial(hosts(84)).withReplacement(2, hosts(84))!
    expect(IssuerTable.decode(table.encode())!.places).toEqual(table.places)
    expect(['', '[]', '{}', '[{"host":1}]'].map(text => IssuerTable.decode(text))).toEqual([undefined, undefined, undefined, undefined])
  })

  it('replaces a host that is gone and moves no other', () => {
    const before = IssuerTable.initial(hosts(84))
    const after = before.withReplacement(2, hosts(84))!
    expect(after.places.filter(({ host }, i) => host !== before.places[i]!.host).length).toBe(1)
    expect(after.places.map(({ term }) => term)).toEqual([0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0])
  })
})

describe('an issuer lease', () => {
  const first = IssuerTable.initial(hosts(84))
  const [own, other] = [first.places[0]!.host, first.places[1]!.host]
  const options = { self: own, leaseMs: 5000, isFirstStart: false, processStartedAt: at(40) }
  const moved = first.withReplacement(1, hosts(84))!
  const backAgain = IssuerTable.decode(JSON.stringify(first.places.map((place, i) => i === 0 ? { ...place, term: 2 } : place)))!
  const successor = moved.places[1]!.host

  it.each<[string, IssuerLease, number, number, number, number | undefined]>([
    ['without a place', IssuerLease.none(options), 0, 0, 10, undefined],
    ['at its own place, from the start of the process', IssuerLease.none(options).withTable(first, at(100)), 0, 0, 100, 40],
    ['at the first start of the system, without a beginning', IssuerLease.none({ ...options, isFirstStart: true }).withTable(first, at(100)), 0, 0, 100, -Infinity],
    ['at another\'s place', IssuerLease.none(options).withTable(first, at(100)), 1, 0, 200, undefined],
    ['with a copy of the row that is too old', IssuerLease.none(options).withTable(first, at(100)), 0, 5001, 200, undefined],
    ['in place of another host, before that one has stopped', IssuerLease.none({ ...options, self: successor }).withTable(moved, at(100)), 1, 0, 5349, undefined],
    ['in place of another host, later', IssuerLease.none({ ...options, self: successor }).withTable(moved, at(100)), 1, 0, 5350, 5350],
    ['replaced', IssuerLease.none({ ...options, self: other }).withTable(first, at(100)).withTable(moved, at(200)), 1, 0, 300, undefined],
    ['reassigned to another host and back, learnt only now', IssuerLease.none(options).withTable(first, at(100)).withTable(backAgain, at(20_000)), 0, 0, 20_100, undefined],
    ['kept while another place changes', IssuerLease.none(options).withTable(first, at(100)).withTable(moved, at(200)), 0, 0, 300, 40]
  ])('%s', (_name, lease, place, ageMs, now, expected) => expect(lease.issuesSince(place, ageMs, at(now))).toBe(expected))
})

describe('an issuer', () => {
  // Twelve shards, with a depth of 2.7 and a credit of 1.3 tokens.
  const shard = Shard.of({ perSecond: 0, burst: 20 }, { ...BOUNDS, overage: 0, slack: 40 })
  const wanted = (count: number, since: number, place = 0) => ({ place, team: 't' as TeamId, count, shard, since: at(since) })

  it('gives the tokens of a bucket once, whoever asks', () => {
    const issuer = TokenIssuer.create()
    const counts = [1, 10, 10].map(count => issuer.issue(wanted(count, -Infinity), at(0)).count)
    expect(counts).toEqual([1, 1, 0])
    expect(issuer.issue(wanted(10, -Infinity, 1), at(0)).count).toBe(2)
  })

  it('adds the credit of a place to its present and future buckets', () => {
    const issuer = TokenIssuer.create()
    expect(issuer.issue(wanted(10, 0), at(0)).count).toBe(0)
    issuer.credit(0, at(0), at(0))
    expect(issuer.issue(wanted(10, 0), at(0)).count).toBe(1)
    expect(issuer.issue({ ...wanted(10, 0), team: 'u' as TeamId }, at(0)).count).toBe(1)
    expect(issuer.issue(wanted(10, 0, 1), at(0)).count).toBe(0)
  })

  it('starts with empty buckets when it takes a place again', () => {
    const issuer = TokenIssuer.create()
    issuer.issue(wanted(1, -Infinity), at(0))
    expect(issuer.issue(wanted(10, 1000), at(1000)).count).toBe(0)
  })
})

describe('the tokens of a team', () => {
  const backOff = IssuerBackOff.create()
  const createTokens = () => TeamTokens.of([0, 1, 2], backOff, 0, at(0))
  const grant = (count: number, nextMs = 0, askedAt = 0) => ({ count, nextMs, askedAt: at(askedAt), lifetimeMs: 400 })

  it('are valid for their lifetime from the request for them', () => {
    const tokens = createTokens()
    tokens.answered(0, grant(2), at(50))
    expect([tokens.take(at(399)), tokens.take(at(400))]).toEqual([400, undefined])
  })

  it('have expired after a suspension', () => {
    const tokens = createTokens()
    tokens.answered(0, grant(2), at(50))
    expect(tokens.take(at(86_400_000))).toBeUndefined()
  })

  it('come from one place after the other, except places that are empty or don\'t answer', () => {
    const tokens = createTokens()
    const places = () => [0, 1, 2].map(() => tokens.next(1, 400, at(10))).map(next => next.kind === 'ask' ? next.place : -1)
    expect(places()).toEqual([0, 1, 2])
    tokens.answered(0, grant(0, 300), at(10))
    backOff.recordTimeout(1, at(10))
    expect(places()).toEqual([2, 2, 2])
    tokens.answered(2, grant(0, 700), at(10))
    expect(tokens.next(1, 400, at(10))).toEqual({ kind: 'none', ms: 100, isSilent: false })
    expect(tokens.next(1, 400, at(111))).toMatchObject({ kind: 'ask', place: 1 })
    backOff.recordTimeout(1, at(111))
    expect(tokens.next(1, 400, at(111))).toEqual({ kind: 'none', ms: 199, isSilent: false })
  })

  it('are prefetched according to recent usage', () => {
    const tokens = createTokens()
    for (let i = 0; i < 40; i++) tokens.take(at(i * 10))
    expect(tokens.prefetchCount(400, at(400))).toBeGreaterThanOrEqual(5)
    expect(tokens.prefetchCount(400, at(5000))).toBe(0)
  })

  it('that were returned are used again', () => {
    const tokens = createTokens()
    tokens.answered(0, grant(1), at(50))
    tokens.putBack(tokens.take(at(60))!)
    expect(tokens.take(at(70))).toBe(400)
  })
})
