/** Controls the failover of one group: performs the claims, surveys, promotions and objections that the core decides on. */

import { setTimeout as pause } from 'node:timers/promises'
import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { HostId } from '../../../core/id/host.ts'
import { Handover } from '../../../core/pool/failover/handover.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import { Lease } from '../../../core/pool/failover/lease.ts'
import { GroupFailover } from '../../../core/pool/failover/groupfailover.ts'
import type { GroupFailoverAction } from '../../../core/pool/failover/groupfailoveraction.ts'
import type { GroupFailoverEvent } from '../../../core/pool/failover/groupfailoverevent.ts'
import type { GroupFailoverView } from '../../../core/pool/failover/groupfailoverview.ts'
import type { EndpointStatus } from '../../../core/statement/endpointstatus.ts'
import { readJson } from '../../../core/readjson.ts'
import * as z from 'zod'
import type { Log } from '../../log/log.ts'
import { clock } from '../clock.ts'
import type { PoolGroup } from '../group.ts'
import type { PoolMetrics } from '../metrics.ts'
import type { Platform } from '../platform.ts'
import { Probes } from './probes.ts'
import type { Row } from '../../../core/pool/membership/row.ts'
import { stopReplicas } from './stopreplicas.ts'
import { surveyAll } from './surveyall.ts'

interface Options {
  readonly host: HostId
  readonly group: PoolGroup
  readonly platform: Platform
  /** The store table that all hosts share. */
  readonly table: string
  readonly log: Log
  readonly metrics: PoolMetrics
  /** The live hosts. */
  readonly hosts: () => readonly PoolHost[]
  /** The live hosts in the order in which they act. */
  readonly failoverOrder: () => readonly HostId[]
  /** Milliseconds for which an endpoint keeps serving after it announced that it leaves. */
  readonly drainMs: number
  /** Whether commits wait for a replica, so that the new primary must have all that any replica acknowledged. */
  readonly isSynchronous: () => boolean
  readonly signal: AbortSignal
}

/** Part of a leaving primary's drain time in which its replicas catch up; the rest is for the claim and a promotion of up to two seconds. */
const CATCH_UP_SHARE = 0.25

/** Time over which hosts spread their objections: half of the shortest time for objections. */
const OBJECTION_SPREAD_MS = 100

type Promote = Extract<GroupFailoverAction, { kind: 'promote' }>
type Survey = Extract<GroupFailoverAction, { kind: 'survey' }>

const leaseShape = z.object({ holder: z.string(), asksFor: z.string().optional() })
/** Rows of an earlier release name no term; they affect all commits of the old primary. */
const handoverShape = z.object({ old: z.string(), successor: z.string(), term: z.number().default(Infinity) })
const endShape = z.object({ fence: z.number() })
const objectionShape = z.object({ fence: z.number(), endpoint: z.string() })

export class FailoverController {
  private groupFailover = GroupFailover.create(clock.now())
  private lease: Lease | undefined
  private readonly probing = new Set<EndpointId>()
  /** The highest fence with an objection. */
  private objectedFence = 0
  /** The newest version of the group's handover row that was seen, and the one that this host wrote. */
  private handoverVersion = 0
  private ownHandover: { readonly version: number, readonly handover: Handover } | undefined
  /** The highest fence whose failover has ended; only known where commits wait for a replica. */
  private endedFence = 0
  private readonly probes: Probes
  /** Settles once all that were told to stop have answered. */
  private stopping: Promise<unknown> = Promise.resolve()

  private constructor (private readonly options: Options) {
    this.probes = Probes.create(options.group, options.platform.dialer)
  }

  static create (options: Options): FailoverController {
    return new FailoverController(options)
  }

  /** Must be called about every 100 ms. */
  tick (): void {
    const { group } = this.options
    group.checkDrained()
    for (const { id } of group.knownEndpoints) {
      if (!this.probing.has(id) && (group.reachability(id).isSuspect(clock.now()) || this.needsAnswerOf(id))) this.probe(id)
    }
    if (!this.groupFailover.isIdle || !this.isHealthy || this.hasLeftover) this.step({ kind: 'tick' })
  }

  /** A cheap check for the normal case, in which the view needn't be built. */
  private get isHealthy (): boolean {
    const { group } = this.options
    const listed = group.leader === undefined ? undefined : group.endpoint(group.leader)
    return listed !== undefined && !listed.isLeaving && !group.isLeaderUnreachable()
  }

  /** Whether a host that ended may have left stopped replicas or an order behind, where commits wait for a replica. */
  private get hasLeftover (): boolean {
    return this.options.isSynchronous() && (this.isLeaseOpen || this.options.group.isHandoverOpen)
  }

  /** A failover of this host that is under way isn't left open. */
  private get isLeaseOpen (): boolean {
    const { lease, endedFence, groupFailover, options: { host } } = this
    return lease !== undefined && lease.version > endedFence && (lease.holder !== host || groupFailover.isIdle)
  }

  /** Takes in the group's lease row of the shared table. */
  leaseChanged ({ value, version }: Row): void {
    const parsed = value === undefined ? undefined : leaseShape.safeParse(readJson(value))
    if (parsed?.success !== true || (this.lease !== undefined && version <= this.lease.version)) return
    const { holder, asksFor } = parsed.data
    this.lease = Lease.of({ holder: holder as HostId, asksFor: asksFor as EndpointId | undefined, version, seenAt: clock.age() })
    this.options.group.outage.recordClaim(version)
    if (this.lease.asksFor !== undefined && holder !== this.options.host) this.objectIfReachable(this.lease.asksFor, version)
  }

  objectionMade ({ key, value }: Row): void {
    const objection = objectionOf(value)
    if (objection === undefined) return
    const { fence, endpoint } = objection
    this.objectedFence = Math.max(this.objectedFence, fence)
    const host = this.options.hosts().find(({ id }) => key.endsWith(`/${id}`))
    if (host !== undefined && host.id !== this.options.host) this.options.group.recordReachableVia(endpoint, host)
    this.options.group.outage.cancelExpectation()
    this.step({ kind: 'objected', fence })
  }

  /** Takes in the row that says which failover of the group was the last to end. */
  failoverEnded ({ value }: Row): void {
    const parsed = endShape.safeParse(value === undefined ? undefined : readJson(value))
    if (parsed.success) this.endedFence = Math.max(this.endedFence, parsed.data.fence)
  }

  /** Takes in the group's handover row of the shared table; an erased one was given up. */
  handoverAnnounced ({ value, version }: Row): void {
    if (version <= this.handoverVersion) return
    const parsed = handoverShape.safeParse(value === undefined ? undefined : readJson(value))
    if (value !== undefined && !parsed.success) return
    this.handoverVersion = version
    const { old, successor, term = 0 } = parsed.data ?? {}
    const handover = old === undefined ? undefined : Handover.of({ old: old as EndpointId, successor: successor as EndpointId, term })
    this.options.group.setHandover(handover)
  }

  private get view (): GroupFailoverView {
    const { group, host, failoverOrder, drainMs, isSynchronous } = this.options
    const { leader, endpoints } = group
    const now = clock.age()
    const listed = leader === undefined ? undefined : group.endpoint(leader)
    return {
      leader,
      term: group.term,
      leaderlessMs: endpoints.length === 0 ? 0 : group.leaderlessMs(),
      isLeaving: listed?.isLeaving === true,
      catchUpMs: drainMs * CATCH_UP_SHARE,
      isListed: listed !== undefined,
      isReplacementDue: group.isReplacementDue,
      isFailing: leader !== undefined && group.reachability(leader).isFailing(clock.now()),
      leaving: new Set(endpoints.filter(({ isLeaving }) => isLeaving).map(({ id }) => id)),
      commitHolders: isSynchronous() ? group.commitHolders : undefined,
      isHandoverOpen: group.isHandoverOpen,
      isLeaseOpen: this.isLeaseOpen,
      rank: Math.max(0, failoverOrder().indexOf(host)),
      mayClaim: this.lease === undefined || this.lease.mayClaim(host, now),
      isLeaseHolder: this.lease?.isHeldBy(host, now) === true
    }
  }

  private step (event: GroupFailoverEvent): void {
    const { next, actions } = this.groupFailover.step(event, this.view, clock.now())
    this.groupFailover = next
    for (const action of actions) this.act(action)
  }

  private act (action: GroupFailoverAction): void {
    switch (action.kind) {
      case 'claim': return this.claim(action)
      case 'confirm': return this.confirm(action.fence)
      case 'survey': return this.survey(action, this.options.isSynchronous())
      case 'stop': return this.stop(action.endpoints)
      case 'look': return this.survey({ old: action.old, isHandover: false }, false)
      case 'handOver': return this.handOver(action.handover)
      case 'compare': this.compare(action.old, action.successor); return
      case 'promote': return this.promote(action)
      case 'found': return this.options.group.recordLeaderClaim(action.endpoint, action.term)
      case 'withhold': return this.withhold(action.unheard)
      case 'giveUp': this.giveUp(action.hasOpenOrder)
    }
  }

  private claim ({ cause, asksFor }: Extract<GroupFailoverAction, { kind: 'claim' }>): void {
    const { host, group, platform, table, log, metrics, signal } = this.options
    metrics.storeCalls.inc({ call: 'write', table: 'shared', why: 'lease' })
    const change = { table, key: `lease/${group.id}`, value: JSON.stringify({ holder: host, asksFor }), expected: this.lease?.version ?? 0 }
    const began = clock.now()
    platform.store.change([change], signal).then(changed => {
      log.write('leaseClaimed', { group: group.id, cause, isTaken: changed.isOk(), fence: changed.unwrapOr(0), leader: group.leader ?? 'none' })
      if (changed.isErr() && changed.error !== 'conflict') group.outage.cancelExpectation()
      if (changed.isErr()) return this.step({ kind: 'claimLost' })
      group.outage.recordClaim(changed.value)
      this.lease = Lease.of({ holder: host, asksFor, version: changed.value, seenAt: clock.age() })
      this.step({ kind: 'claimed', fence: changed.value, tookMs: clock.now() - began })
    })
  }

  private confirm (fence: number): void {
    const { group, platform, table, log, metrics, signal } = this.options
    metrics.storeCalls.inc({ call: 'read', table: 'shared', why: 'objections' })
    platform.store.read(table, signal, `objection/${group.id}/`).then(read => {
      if (read.isErr()) {
        group.outage.cancelExpectation()
        return this.step({ kind: 'claimLost' })
      }
      const objections = read.value.rows.filter(({ value }) => objectionOf(value)?.fence === fence)
      log.write('objectionsRead', { group: group.id, fence, objections: objections.length })
      this.step(objections.length > 0 ? { kind: 'objected', fence } : { kind: 'confirmed', fence })
    })
  }

  private survey ({ old, isHandover }: Pick<Survey, 'old' | 'isHandover'>, isStopped: boolean): void {
    const { group, log } = this.options
    surveyAll({ group, probes: this.probes, log, old, isHandover, isStopped }).then(statuses => this.step({ kind: 'surveyed', statuses }))
  }

  private stop (endpoints: readonly EndpointId[]): void {
    const { group, log } = this.options
    this.stopping = Promise.all([this.stopping, stopReplicas({ group, probes: this.probes, log }, endpoints)])
  }

  /** Announces the handover; only then does the successor receive again, as the one replica that was surveyed. */
  private handOver (handover: Handover): void {
    const { old, successor } = handover
    this.announce(handover).then(async isAnnounced => {
      if (!isAnnounced) return this.step({ kind: 'compared', statuses: undefined })
      await this.probes.askRequired(successor, { kind: 'resume' })
      this.compare(old, successor)
    })
  }

  /** The old primary is asked first, so that a successor with its position has everything up to then. */
  private async compare (old: EndpointId, successor: EndpointId): Promise<void> {
    const { group, log } = this.options
    const statuses = new Map<EndpointId, EndpointStatus>()
    for (const endpoint of [old, successor]) {
      const status = await this.probes.askRequired(endpoint, { kind: 'status' })
      if (status !== undefined) statuses.set(endpoint, status)
    }
    const positions = [old, successor].map(id => String(statuses.get(id)?.received ?? '-'))
    log.write('logsCompared', { group: group.id, old, successor, oldReceived: positions[0]!, received: positions[1]! })
    this.step({ kind: 'compared', statuses })
  }

  private promote (action: Promote): void {
    const { group, log } = this.options
    const { endpoint, fence, handover, isPlanned } = action
    log.write('promotionBegun', { group: group.id, endpoint, fence, before: group.leader ?? 'none', isHandover: isPlanned })
    this.announce(handover).then(async isAnnounced => {
      const outcome = isAnnounced ? await this.order(endpoint, fence) : 'notDone'
      log.write('promotionOrdered', { group: group.id, endpoint, fence, outcome })
      this.step({ kind: 'ordered', outcome })
    })
  }

  /** Announces the handover, if any, to all hosts before the order; resolves with false if the store didn't take the row. */
  private async announce (handover: Handover | undefined): Promise<boolean> {
    if (handover === undefined) return true
    const { old, successor, term } = handover
    const changed = await this.changeHandover({ value: JSON.stringify({ old, successor, term }) })
    if (changed.isErr()) return false
    this.ownHandover = { version: changed.value, handover }
    this.options.group.setHandover(handover)
    return true
  }

  /** Withdraws this host's announcement, so that commits of a primary that stays no longer wait for one replica, unless another host has announced a handover since. */
  private async withdraw (): Promise<void> {
    const { ownHandover, options: { group } } = this
    if (ownHandover === undefined || group.leader !== ownHandover.handover.old) return
    this.ownHandover = undefined
    const changed = await this.changeHandover({ value: undefined, expected: ownHandover.version })
    if (changed.isOk()) group.setHandover(undefined)
  }

  private async changeHandover (change: { readonly value: string | undefined, readonly expected?: number }): ReturnType<Platform['store']['change']> {
    const { group, platform, table, metrics, signal } = this.options
    metrics.storeCalls.inc({ call: 'write', table: 'shared', why: 'handover' })
    const changed = await platform.store.change([{ table, key: `handover/${group.id}`, ...change }], signal)
    if (changed.isOk()) this.handoverVersion = Math.max(this.handoverVersion, changed.value)
    return changed
  }

  private async order (endpoint: EndpointId, fence: number): Promise<Awaited<ReturnType<Platform['orders']['promote']>>> {
    const { host, group, platform, metrics, signal } = this.options
    const outcome = await platform.orders.promote({ group: group.id, endpoint, holder: host, fence }, signal)
    metrics.orders.inc({ outcome })
    return outcome
  }

  /** Statements that need a primary are refused from now on, since none is expected soon. */
  private withhold (unheard: readonly EndpointId[]): void {
    const { group, log } = this.options
    log.write('promotionWithheld', { group: group.id, unheard: unheard.join(' ') })
    group.outage.cancelExpectation()
  }

  /** Has the replicas receive again, unless another host has the lease by now: it may have stopped them for its own survey. */
  private async giveUp (hasOpenOrder: boolean): Promise<void> {
    const { group, host, isSynchronous } = this.options
    if (!isSynchronous() || this.lease?.holder !== host) return
    if (!hasOpenOrder) this.withdraw()
    // A stop that arrives after its resumption would last.
    await this.stopping
    const ids = [...group.endpoints, ...group.commitHolders.unlisted].map(({ id }) => id)
    await Promise.all(ids.map(async id => await this.probes.ask(id, { kind: 'resume' })))
    await this.recordEnd()
  }

  /** Tells the other hosts that the failover left nothing to do; without it one of them takes the lease over once it has expired. */
  private async recordEnd (): Promise<void> {
    const { lease, options: { host, group, platform, table, metrics, signal } } = this
    if (lease?.holder !== host || !this.groupFailover.isIdle) return
    metrics.storeCalls.inc({ call: 'write', table: 'shared', why: 'end' })
    const changed = await platform.store.change([{ table, key: `ended/${group.id}`, value: JSON.stringify({ fence: lease.version }) }], signal)
    if (changed.isOk()) this.endedFence = Math.max(this.endedFence, lease.version)
  }

  /** In a group without statements the primary has to be asked, so that a replica that went for good holds up no later promotion. */
  private needsAnswerOf (id: EndpointId): boolean {
    const { group, isSynchronous } = this.options
    return id === group.leader && isSynchronous() && group.commitHolders.needsAnswer
  }

  private probe (id: EndpointId): void {
    this.probing.add(id)
    this.probes.proveLeader(id).then(() => {
      this.probing.delete(id)
      this.step({ kind: 'tick' })
    })
  }

  /**
   * Objects to another host's claim that the primary is unreachable, if this host reaches it. Probes it on a new connection, since an
   * earlier answer may be from before a crash, and a wrong objection delays the failover. One objection is enough, so hosts object
   * in turn, and only if there is none yet.
   */
  private async objectIfReachable (endpoint: EndpointId, fence: number): Promise<void> {
    const { group, host, failoverOrder, platform, table, log, metrics, signal } = this.options
    const order = failoverOrder()
    await pause(OBJECTION_SPREAD_MS * Math.max(0, order.indexOf(host)) / Math.max(1, order.length), undefined, { signal }).catch(() => 'the process ends')
    if (signal.aborted || this.objectedFence >= fence) return
    this.probes.proveLeader(endpoint).then(isLeader => {
      if (!isLeader || group.leader !== endpoint) return
      log.write('objected', { group: group.id, endpoint, fence })
      metrics.storeCalls.inc({ call: 'write', table: 'shared', why: 'objection' })
      platform.store.change([{ table, key: `objection/${group.id}/${host}`, value: JSON.stringify({ fence, endpoint }) }], signal)
    })
  }
}

/** The fence of an objection and the endpoint that its host reaches; undefined for an erased or invalid row. */
function objectionOf (value: string | undefined): { readonly fence: number, readonly endpoint: EndpointId } | undefined {
  const parsed = objectionShape.safeParse(value === undefined ? undefined : readJson(value))
  return parsed.success ? { fence: parsed.data.fence, endpoint: parsed.data.endpoint as EndpointId } : undefined
}
