/** Runs the failover of several hosts against one store and one group, in virtual time, with random faults by seed. */

import { describe, expect, it } from 'vitest'
import type { EndpointId } from '../../id/endpoint.ts'
import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import { mix } from '../../mix.ts'
import type { EndpointStatus } from '../../statement/endpointstatus.ts'
import { Token } from '../../token.ts'
import { Lease } from './lease.ts'
import { GroupFailover } from './groupfailover.ts'
import type { GroupFailoverAction } from './groupfailoveraction.ts'
import type { GroupFailoverEvent } from './groupfailoverevent.ts'

const SEEDS = 1000
const HOSTS = 5
const TICK_MS = 50
const FAULTS_END_MS = 15_000
const END_MS = 45_000
/** Time from the loss of the primary until a host counts it as failing: silence and a failed connection. */
const FAILURE_DETECTION_MS = 550
const PROMOTION_MS = 1000
const CALL_TIMEOUT_MS = 750

interface Endpoint {
  readonly id: EndpointId
  isUp: boolean
  isLeaving: boolean
  position: number
}

class Host {
  failover = GroupFailover.create(0 as Instant)
  lease: Lease | undefined
  leader: EndpointId | undefined
  unreachableSince: number | undefined
  isSuspended = false
  isStoreReachable = true
  readonly unreached = new Set<EndpointId>()
  readonly refusedFences: number[] = []
  readonly orders: number[] = []

  constructor (readonly id: HostId, readonly rank: number) {}
}

/** The actual state of the store, the group and the platform; hosts see it with delays and network faults. */
class World {
  now = 0
  readonly endpoints: Endpoint[] = ['a', 'b', 'c'].map(id => ({ id: id as EndpointId, isUp: true, isLeaving: false, position: 100 }))
  readonly hosts = Array.from({ length: HOSTS }, (_, i) => new Host(`h${i}` as HostId, i))
  leader = 'a' as EndpointId
  term = 1
  promotions = 0
  private version = 1
  private lease: { version: number, holder: HostId, asksFor: EndpointId | undefined } | undefined
  private highestFence = 0
  private scheduled: Array<{ at: number, run: () => void }> = []
  private draws = 0
  private readonly objections = new Set<number>()

  constructor (private readonly seed: number) {
    for (const host of this.hosts) host.leader = this.leader
  }

  /** A number in [0, 1). */
  chance (): number {
    return mix(mix(this.seed) ^ ++this.draws) / 2 ** 32
  }

  after (ms: number, run: () => void): void {
    this.scheduled.push({ at: this.now + ms, run })
  }

  endpoint (id: EndpointId): Endpoint {
    return this.endpoints.find(one => one.id === id)!
  }

  play (untilMs: number): void {
    for (; this.now < untilMs; this.now += TICK_MS) {
      const due = this.scheduled.filter(({ at }) => at <= this.now)
      this.scheduled = this.scheduled.filter(({ at }) => at > this.now)
      for (const { run } of due) run()
      for (const host of this.hosts) this.tick(host)
    }
  }

  reaches (host: Host, id: EndpointId): boolean {
    return this.endpoint(id).isUp && !host.unreached.has(id)
  }

  private tick (host: Host): void {
    if (host.isSuspended) return
    const isLost = host.leader !== undefined && !this.reaches(host, host.leader)
    host.unreachableSince = isLost ? host.unreachableSince ?? this.now : undefined
    // A replaced primary refuses writes, so a host that reaches it stops treating it as the leader.
    if (host.leader !== undefined && !isLost && host.leader !== this.leader) host.leader = undefined
    this.step(host, { kind: 'tick' })
  }

  step (host: Host, event: GroupFailoverEvent): void {
    if (host.isSuspended) return this.after(TICK_MS, () => this.step(host, event))
    const leaving = new Set(this.endpoints.filter(({ isLeaving }) => isLeaving).map(({ id }) => id))
    const { next, actions } = host.failover.step(event, {
      leader: host.leader,
      term: this.term,
      leaderlessMs: host.leader === undefined ? 2000 : 0,
      isLeaving: host.leader !== undefined && host.isStoreReachable && leaving.has(host.leader),
      isListed: true,
      isReplacementDue: false,
      isFailing: host.unreachableSince !== undefined && this.now - host.unreachableSince >= FAILURE_DETECTION_MS,
      leaving,
      catchUpMs: 2000,
      commitHolders: undefined,
      isHandoverOpen: false,
      isLeaseOpen: false,
      rank: host.rank,
      mayClaim: host.lease?.mayClaim(host.id, this.now as Instant) ?? true,
      isLeaseHolder: host.lease?.isHeldBy(host.id, this.now as Instant) === true
    }, this.now as Instant)
    host.failover = next
    for (const action of actions) this.act(host, action)
  }

  private act (host: Host, action: GroupFailoverAction): void {
    switch (action.kind) {
      case 'claim': return this.claim(host, action.asksFor)
      case 'confirm': return this.confirm(host, action.fence)
      case 'survey': return this.survey(host, action.isHandover ? undefined : action.old)
      case 'look': return this.survey(host, action.old)
      case 'promote': return this.promote(host, action)
      case 'found': return this.found(host, action.endpoint)
      case 'giveUp': return undefined
    }
  }

  private found (host: Host, endpoint: EndpointId): void {
    host.leader = endpoint
  }

  private confirm (host: Host, fence: number): void {
    if (!host.isStoreReachable) return this.after(CALL_TIMEOUT_MS, () => this.step(host, { kind: 'claimLost' }))
    this.after(20, () => this.step(host, this.objections.has(fence) ? { kind: 'objected', fence } : { kind: 'confirmed', fence }))
  }

  private claim (host: Host, asksFor: EndpointId | undefined): void {
    if (!host.isStoreReachable) return this.after(CALL_TIMEOUT_MS, () => this.step(host, { kind: 'claimLost' }))
    const expected = host.lease?.version ?? 0
    const tookMs = 10 + Math.floor(this.chance() * 60)
    this.after(tookMs, () => {
      if ((this.lease?.version ?? 0) !== expected) return this.step(host, { kind: 'claimLost' })
      const version = ++this.version
      this.lease = { version, holder: host.id, asksFor }
      for (const other of this.hosts) this.deliverLease(other)
      if (asksFor !== undefined) this.ask(host, asksFor, version)
      this.step(host, { kind: 'claimed', fence: version, tookMs })
    })
  }

  private deliverLease (host: Host): void {
    if (!host.isStoreReachable || this.lease === undefined || host.lease?.version === this.lease.version) return
    host.lease = Lease.of({ ...this.lease, seenAt: this.now as Instant })
  }

  private ask (holder: Host, endpoint: EndpointId, fence: number): void {
    for (const other of this.hosts) {
      if (other === holder || !other.isStoreReachable || other.isSuspended) continue
      this.after(100, () => {
        if (!this.reaches(other, endpoint) || this.leader !== endpoint || !other.isStoreReachable || other.isSuspended) return
        this.objections.add(fence)
        if (holder.isStoreReachable) this.step(holder, { kind: 'objected', fence })
      })
    }
  }

  private survey (host: Host, old: EndpointId | undefined): void {
    this.after(100, () => {
      const statuses = new Map<EndpointId, EndpointStatus>()
      for (const { id, position } of this.endpoints) {
        if (id === old || !this.reaches(host, id)) continue
        statuses.set(id, { isPrimary: id === this.leader, term: this.term, received: Token.of(this.term, position) })
      }
      this.step(host, { kind: 'surveyed', statuses })
    })
  }

  private promote (host: Host, { endpoint, fence }: Extract<GroupFailoverAction, { kind: 'promote' }>): void {
    host.orders.push(fence)
    const isLate = this.chance() < 0.2
    const isAnswered = !isLate && this.chance() < 0.8
    this.after(isLate ? 2000 + this.chance() * 8000 : 20, () => {
      const outcome = this.execute(endpoint, fence)
      if (outcome === 'refused') host.refusedFences.push(fence)
      if (isAnswered) this.step(host, { kind: 'ordered', outcome })
    })
    if (!isAnswered) this.after(CALL_TIMEOUT_MS, () => this.step(host, { kind: 'ordered', outcome: 'unknown' }))
  }

  private execute (endpoint: EndpointId, fence: number): 'done' | 'refused' {
    if (fence < this.highestFence || !this.endpoint(endpoint).isUp) return 'refused'
    this.highestFence = fence
    this.after(PROMOTION_MS, () => {
      if (endpoint === this.leader || !this.endpoint(endpoint).isUp) return
      this.leader = endpoint
      this.term++
      this.promotions++
      this.after(50, () => this.deliverDirectory())
    })
    return 'done'
  }

  /** Delivers the directory's leader and the lease to hosts that reach the store. */
  deliverDirectory (): void {
    for (const host of this.hosts) {
      if (host.isStoreReachable) host.leader = this.leader
      this.deliverLease(host)
    }
  }
}

/** Schedules network faults, suspensions, and crashes or departures of the primary. All but crashes and departures end before the faults' end. */
function scheduleFaults (world: World, mayLosePrimary: boolean): void {
  const pick = <T>(list: readonly T[]): T => list[Math.floor(world.chance() * list.length)]!
  const faults = 1 + Math.floor(world.chance() * 4)
  for (let i = 0; i < faults; i++) {
    const at = world.chance() * FAULTS_END_MS / 2
    const forMs = world.chance() * FAULTS_END_MS / 2
    const kind = pick(['freeze', 'store', 'cut', 'cut', mayLosePrimary ? 'crash' : 'cut', mayLosePrimary ? 'leave' : 'cut'])
    // The first host has no faults, so one host always reaches the primary and the store.
    const host = pick(world.hosts.slice(1))
    world.after(at, () => injectFault(world, kind, host))
    world.after(at + forMs, () => clearFault(world, kind, host))
  }
}

function injectFault (world: World, kind: string, host: Host): void {
  if (kind === 'freeze') host.isSuspended = true
  if (kind === 'store') host.isStoreReachable = false
  if (kind === 'cut') host.unreached.add(world.leader)
  // The last endpoint stays up, so that one can lead.
  const isLast = world.endpoints.filter(({ isUp }) => isUp).length < 2
  if (kind === 'crash' && !isLast) world.endpoint(world.leader).isUp = false
  if (kind === 'leave') world.endpoint(world.leader).isLeaving = true
}

function clearFault (world: World, kind: string, host: Host): void {
  if (kind === 'freeze') host.isSuspended = false
  if (kind === 'cut') host.unreached.clear()
  if (kind !== 'store') return
  host.isStoreReachable = true
  world.deliverDirectory()
}

function simulate (seed: number, mayLosePrimary: boolean): World {
  const world = new World(seed)
  scheduleFaults(world, mayLosePrimary)
  world.play(END_MS)
  return world
}

const seeds = Array.from({ length: SEEDS }, (_, i) => i + 1)

describe('failovers of several hosts', () => {
  it('promote nothing while one host reaches the primary', () => {
    // Other hosts are suspended, or cut off from the primary or the store.
    expect(seeds.filter(seed => simulate(seed, false).promotions > 0)).toEqual([])
  })

  it('end with a running primary that every host knows', () => {
    const wrong = seeds.filter(seed => {
      const world = simulate(seed, true)
      return !world.endpoint(world.leader).isUp || world.hosts.some(({ leader }) => leader !== world.leader)
    })
    expect(wrong).toEqual([])
  })

  it('never order twice under one fence', () => {
    const wrong = seeds.filter(seed => {
      const fences = simulate(seed, true).hosts.flatMap(({ orders }) => orders)
      return new Set(fences).size !== fences.length
    })
    expect(wrong).toEqual([])
  })
})
