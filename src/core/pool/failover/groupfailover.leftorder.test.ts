/**
 * Guards against an order that a host left behind: without an answer before it ended, where commits wait for one replica. The hosts after it
 * know nothing of the order, which the platform carries out later. Virtual time.
 */

import { describe, expect, it } from 'vitest'
import type { Endpoint } from '../../directory/endpoint.ts'
import type { EndpointId } from '../../id/endpoint.ts'
import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import type { EndpointStatus } from '../../statement/endpointstatus.ts'
import { Token } from '../../token.ts'
import { CommitHolders } from './commitholders.ts'
import { GroupFailover } from './groupfailover.ts'
import type { GroupFailoverAction } from './groupfailoveraction.ts'
import type { GroupFailoverEvent } from './groupfailoverevent.ts'
import type { Handover } from './handover.ts'
import { Lease } from './lease.ts'

const TICK_MS = 50
/** Time from the loss of the primary until a host counts it as failing: silence and a failed connection. */
const FAILURE_DETECTION_MS = 550
const CALL_MS = 20
const CALL_TIMEOUT_MS = 750
const SURVEY_MS = 100
const PRIMARY = 'a' as EndpointId
const REPLICAS = ['b', 'c'] as EndpointId[]
const HOLDERS = CommitHolders.none.directoryChanged([PRIMARY, ...REPLICAS].map(id => ({ id, address: { ip: id, port: 1 } }) as unknown as Endpoint), 0 as Instant)

interface Host {
  readonly id: HostId
  readonly rank: number
  failover: GroupFailover
  hasEnded: boolean
}

/** One group, its store and the platform, of which all hosts see the same at once. */
class World {
  now = 0
  leader = PRIMARY
  readonly hosts: Host[] = ['h0', 'h1'].map((id, rank) => ({ id: id as HostId, rank, failover: GroupFailover.create(0 as Instant), hasEnded: false }))
  readonly orders: Array<{ readonly endpoint: EndpointId, readonly fence: number }> = []
  /** Whether the primary's stream to the replica is broken. */
  readonly cutOff = new Set<EndpointId>()
  readonly stopped = new Set<EndpointId>()
  private readonly positions = new Map<EndpointId, number>([PRIMARY, ...REPLICAS].map(id => [id, 5]))
  private acknowledged = 5
  private silentSince: number | undefined
  private lease: Lease | undefined
  private endedFence = 0
  private handover: Handover | undefined
  private version = 0
  private scheduled: Array<{ readonly at: number, readonly run: () => void }> = []

  get hasLostCommits (): boolean {
    return this.positions.get(this.leader)! < this.acknowledged
  }

  /** Claims of the lease that were begun, and those that succeeded. */
  readonly claims = { begun: 0, done: 0 }

  silence (): void {
    this.silentSince = this.now
  }

  answer (): void {
    this.silentSince = undefined
  }

  /** Whether a commit at the primary is acknowledged: in a handover, only if the successor has it. */
  commit (): boolean {
    const position = this.positions.get(this.leader)! + 1
    this.positions.set(this.leader, position)
    const receiving = REPLICAS.filter(id => id !== this.leader && !this.stopped.has(id) && !this.cutOff.has(id))
    for (const id of receiving) this.positions.set(id, position)
    const successor = this.isHandoverOpen ? this.handover?.successor : undefined
    const isAcknowledged = receiving.length > 0 && (successor === undefined || receiving.includes(successor))
    if (isAcknowledged) this.acknowledged = position
    return isAcknowledged
  }

  private get isHandoverOpen (): boolean {
    return this.handover?.old === this.leader
  }

  /** The platform carries out an order, unless it has seen a newer one. */
  carryOut ({ endpoint, fence }: World['orders'][number]): void {
    if (this.orders.some(other => other.fence > fence)) return
    this.leader = endpoint
    this.stopped.clear()
  }

  pass (ms: number): void {
    for (const until = this.now + ms; this.now < until; this.now += TICK_MS) {
      const due = this.scheduled.filter(({ at }) => at <= this.now)
      this.scheduled = this.scheduled.filter(({ at }) => at > this.now)
      for (const { run } of due) run()
      for (const host of this.hosts) this.step(host, { kind: 'tick' })
    }
  }

  private after (ms: number, run: () => void): void {
    this.scheduled.push({ at: this.now + ms, run })
  }

  private step (host: Host, event: GroupFailoverEvent): void {
    if (host.hasEnded) return
    const { next, actions } = host.failover.step(event, {
      leader: this.leader,
      term: 1,
      leaderlessMs: 0,
      isLeaving: false,
      catchUpMs: 2000,
      isListed: true,
      isReplacementDue: false,
      isFailing: this.silentSince !== undefined && this.now - this.silentSince >= FAILURE_DETECTION_MS,
      leaving: new Set(),
      commitHolders: HOLDERS,
      isHandoverOpen: this.isHandoverOpen,
      isLeaseOpen: this.lease !== undefined && this.lease.version > this.endedFence && (this.lease.holder !== host.id || host.failover.isIdle),
      rank: host.rank,
      mayClaim: this.lease?.mayClaim(host.id, this.now as Instant) ?? true,
      isLeaseHolder: this.lease?.isHeldBy(host.id, this.now as Instant) === true
    }, this.now as Instant)
    host.failover = next
    for (const action of actions) this.act(host, action)
  }

  private act (host: Host, action: GroupFailoverAction): void {
    switch (action.kind) {
      case 'claim': return this.claim(host)
      case 'confirm': return this.after(CALL_MS, () => this.step(host, { kind: 'confirmed', fence: action.fence }))
      case 'survey': return this.survey(host, action.isHandover)
      case 'handOver': return this.handOver(host, action.handover)
      case 'compare': return this.after(SURVEY_MS, () => this.step(host, { kind: 'compared', statuses: this.statuses }))
      case 'look': return this.after(SURVEY_MS, () => this.step(host, { kind: 'surveyed', statuses: this.statuses }))
      case 'promote': return this.promote(host, action)
      case 'giveUp': return this.lease?.holder === host.id ? this.giveUp(this.lease, action.hasOpenOrder) : undefined
    }
  }

  private giveUp ({ version }: Lease, hasOpenOrder: boolean): void {
    this.stopped.clear()
    this.endedFence = version
    if (!hasOpenOrder) this.handover = undefined
  }

  private handOver (host: Host, handover: Handover): void {
    this.after(CALL_MS, () => {
      this.handover = handover
      this.stopped.delete(handover.successor)
      this.after(SURVEY_MS, () => this.step(host, { kind: 'compared', statuses: this.statuses }))
    })
  }

  private claim (host: Host): void {
    const expected = this.version
    this.claims.begun++
    this.after(CALL_MS, () => {
      if (this.version !== expected) return this.step(host, { kind: 'claimLost' })
      this.lease = Lease.of({ holder: host.id, asksFor: this.leader, version: ++this.version, seenAt: this.now as Instant })
      this.claims.done++
      this.step(host, { kind: 'claimed', fence: this.version, tookMs: CALL_MS })
    })
  }

  private survey (host: Host, isHandover: boolean): void {
    for (const id of REPLICAS) this.stopped.add(id)
    this.after(SURVEY_MS, () => {
      const statuses = [...this.statuses].filter(([id]) => isHandover || id !== PRIMARY)
      this.step(host, { kind: 'surveyed', statuses: new Map(statuses) })
    })
  }

  /** A primary that is silent has no status. */
  private get statuses (): ReadonlyMap<EndpointId, EndpointStatus> {
    const answering = this.silentSince === undefined ? [PRIMARY, ...REPLICAS] : REPLICAS
    return new Map(answering.map(id => [id, { isPrimary: id === this.leader, term: 1, received: Token.of(1, this.positions.get(id)!) }]))
  }

  /** The first order has no answer and isn't carried out for now; later ones are at once. */
  private promote (host: Host, { endpoint, fence, handover }: Extract<GroupFailoverAction, { kind: 'promote' }>): void {
    const order = { endpoint, fence }
    this.handover = handover ?? this.handover
    this.orders.push(order)
    if (this.orders.length === 1) return this.after(CALL_TIMEOUT_MS, () => this.step(host, { kind: 'ordered', outcome: 'unknown' }))
    this.after(CALL_MS, () => {
      this.carryOut(order)
      this.step(host, { kind: 'ordered', outcome: 'done' })
    })
  }
}

/** The first host's order has no answer, the host ends, and the primary answers again. */
function leftOrder (): World {
  const world = new World()
  world.silence()
  while (world.orders.length === 0) world.pass(TICK_MS)
  world.hosts[0]!.hasEnded = true
  world.answer()
  return world
}

describe('an order that a host left behind', () => {
  it('leaves no replica stopped for good, so that commits are acknowledged again', () => {
    const world = leftOrder()
    world.pass(30_000)
    expect(world.commit()).toBe(true)
  })

  it.each(['begun', 'done'] as const)('loses no acknowledged commit when it is carried out after another failover, whose primary answers once its claim is %s', claim => {
    const world = leftOrder()
    world.pass(3500)
    world.silence()
    for (const before = world.claims[claim]; world.claims[claim] === before;) world.pass(TICK_MS)
    world.answer()
    world.pass(2000)
    world.cutOff.add('b' as EndpointId)
    world.commit()
    world.carryOut(world.orders[0]!)
    expect(world.hasLostCommits).toBe(false)
  })
})
