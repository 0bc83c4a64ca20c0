/** State of one group as this host knows it, and its connections to the group's endpoints. */

import type { Directory } from '../../core/directory/directory.ts'
import type { Endpoint } from '../../core/directory/endpoint.ts'
import type { DataCentreId } from '../../core/id/datacentre.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { GroupId } from '../../core/id/group.ts'
import type { Instant } from '../../core/id/instant.ts'
import { Departures } from '../../core/directory/departures.ts'
import { Directory as Endpoints } from '../../core/directory/directory.ts'
import type { EndpointLoad } from '../../core/pool/load/endpointload.ts'
import { GroupUsage } from '../../core/pool/load/groupusage.ts'
import type { LoadSnapshot } from '../../core/pool/load/loadsnapshot.ts'
import { Reachability } from '../../core/pool/failover/reachability.ts'
import { CommitHolders } from '../../core/pool/failover/commitholders.ts'
import type { Handover } from '../../core/pool/failover/handover.ts'
import { Leadership } from '../../core/pool/failover/leadership.ts'
import type { PoolHost } from '../../core/pool/placing/host.ts'
import type { RetryPolicy } from '../../core/pool/statements/retrypolicy.ts'
import { PatientRetryPolicy } from '../../core/pool/statements/patientretrypolicy.ts'
import { FailFastRetryPolicy } from '../../core/pool/statements/failfastretrypolicy.ts'
import { ServiceTime } from '../../core/admission/servicetime.ts'
import { LogProgress } from '../../core/pool/reads/logprogress.ts'
import { ReachingHosts } from '../../core/pool/placing/reachinghosts.ts'
import { ConnectionScarcity } from '../../core/pool/placing/connectionscarcity.ts'
import { LogState } from '../../core/pool/reads/logstate.ts'
import type { Token } from '../../core/token.ts'
import type { Log } from '../log/log.ts'
import { clock } from './clock.ts'
import type { Dialer } from './connections/dialer.ts'
import type { EndpointShare } from './connections/endpointshare.ts'
import type { DialFault } from './connections/dialfault.ts'
import { ConnectionPool } from './connections/connectionpool.ts'
import { SharedLoad } from './load/sharedload.ts'
import { Places } from './connections/places.ts'
import { ReadRouter } from './readrouter.ts'
import type { PoolMetrics } from './metrics.ts'
import { Outage } from './failover/outage.ts'
import { Watchers } from './watchers.ts'

const PATIENT_POLICY = PatientRetryPolicy.create()
const FAIL_FAST_POLICY = FailFastRetryPolicy.create()

interface Options {
  readonly id: GroupId
  readonly dataCentre: DataCentreId
  /** Milliseconds for which an endpoint keeps serving after it announced that it leaves. */
  readonly drainMs: number
  readonly dialer: Dialer
  readonly log: Log
  readonly metrics: PoolMetrics
  readonly chance: () => number
  /** When this process started. */
  readonly startedAt: Instant
}

/** Counts for an endpoint that this host has no connections to. */
const NO_CONNECTIONS: ConnectionPool['stats'] = { connections: 0, atWork: 0, waiting: [] }

/** Holds the group's immutable values and replaces them as events come in. */
export class PoolGroup {
  private readonly connectionPools = new Map<EndpointId, ConnectionPool>()
  private readonly logStates = new Map<EndpointId, LogState>()
  private readonly reachabilities = new Map<EndpointId, Reachability>()
  /** Chooses endpoints for reads. */
  readonly readRouter: ReadRouter
  /** Endpoints that were logged as unreachable. */
  private readonly unreached = new Set<EndpointId>()
  private directory: Directory = Endpoints.empty
  private departures: Departures
  /** Endpoints whose drain time was found to be over, each logged once. */
  private readonly drained = new Set<EndpointId>()
  private leadership: Leadership
  private progress = LogProgress.empty
  private share: EndpointShare = { connections: 1, isOwner: false, hasSpareConnections: false, otherOwners: [] }
  /** The last that was announced; it may be about an endpoint that is no longer the primary. */
  private handover: Handover | undefined
  private reachingHosts = ReachingHosts.none
  private holders = CommitHolders.none
  private readonly service = ServiceTime.create()
  /** Recent statements by team. */
  readonly usage = GroupUsage.create(clock.now())
  /** Wakes statements that wait for a primary. */
  readonly outage: Outage
  /** The load that the other owners report. */
  readonly sharedLoad = SharedLoad.create()
  /** Notifies statements in progress when their endpoint becomes unreachable. */
  readonly watchers = Watchers.create()

  private constructor (private readonly options: Options) {
    this.departures = Departures.create(options.drainMs)
    this.leadership = Leadership.create(options.id, clock.now())
    this.outage = Outage.create(options.id, options.log)
    this.readRouter = ReadRouter.create(options, () => this.readView())
    this.readRouter.setOthersLoad(this.sharedLoad)
  }

  static create (options: Options): PoolGroup {
    return new PoolGroup(options)
  }

  get id (): GroupId {
    return this.options.id
  }

  get leader (): EndpointId | undefined {
    return this.leadership.leader
  }

  get term (): number {
    return this.progress.term
  }

  get endpoints (): readonly Endpoint[] {
    return this.directory.group(this.options.id)
  }

  /** Listed endpoints, and the primary even if it isn't listed. */
  get knownEndpoints (): ReadonlyArray<Pick<Endpoint, 'id'>> {
    const { leader, endpoints } = this
    const isListed = leader === undefined || endpoints.some(({ id }) => id === leader)
    return isListed ? endpoints : [...endpoints, { id: leader }]
  }

  /** The endpoints that may hold acknowledged commits. */
  get commitHolders (): CommitHolders {
    return this.holders
  }

  get isOwned (): boolean {
    return this.share.isOwner
  }

  /** This host's connections, running and waiting statements at each endpoint, for operators. */
  get endpointStats (): LoadSnapshot['groups'][number]['endpoints'] {
    return this.endpoints.map(({ id, isLeaving, places }) => {
      const { connections, atWork, waiting } = this.connectionPools.get(id)?.stats ?? NO_CONNECTIONS
      return { endpoint: id, isPrimary: id === this.leader, isLeaving, places, connections, atWork, waiting: [...waiting], unreached: this.unreached.has(id) ? 1 : 0 }
    })
  }

  endpoint (id: EndpointId): Endpoint | undefined {
    return this.directory.get(id)
  }

  /** How to connect to the endpoint: from the directory, or as it was listed last; undefined if it isn't known. */
  lastKnown (id: EndpointId): Endpoint | undefined {
    return this.directory.get(id) ?? this.connectionPools.get(id)?.endpoint ?? this.holders.unlisted.find(endpoint => endpoint.id === id)
  }

  reachability (id: EndpointId): Reachability {
    return this.reachabilities.get(id) ?? Reachability.none
  }

  /** Records that another host reaches the endpoint. */
  recordReachableVia (id: EndpointId, host: PoolHost): void {
    this.reachingHosts = this.reachingHosts.with(id, host, clock.now())
  }

  /** A host that recently reached the endpoint, preferably in this data centre; undefined if none did. */
  hostReaching (id: EndpointId | undefined): PoolHost | undefined {
    const hosts = id === undefined ? [] : this.reachingHosts.hosts(id, clock.now())
    return hosts.find(({ dataCentre }) => dataCentre === this.options.dataCentre) ?? hosts[0]
  }

  /** Whether there is a primary that this host doesn't reach. */
  isLeaderUnreachable (): boolean {
    return this.leader !== undefined && this.reachability(this.leader).isFailing(clock.now())
  }

  /** Whether the primary is gone from the directory for so long that it has to be replaced, even if it still answers. */
  get isReplacementDue (): boolean {
    const { leader } = this
    return leader !== undefined && this.directory.get(leader) === undefined && this.departures.isReplacementDue(leader, clock.age())
  }

  /** Whether no request may be sent to the endpoint any more, since its drain time is over. */
  isDrained (id: EndpointId): boolean {
    return this.departures.has(id) && this.departures.isOver(id, clock.age())
  }

  /** Refuses what waits for endpoints whose drain time has just ended. Must be called regularly. */
  checkDrained (): void {
    for (const { id } of this.knownEndpoints) {
      if (this.drained.has(id) || !this.isDrained(id)) continue
      this.drained.add(id)
      this.options.log.write('endpointDrained', { endpoint: id, group: this.id, isLeader: id === this.leader })
      this.connectionPools.get(id)?.refuseWaiting()
    }
  }

  /** Milliseconds without a known primary. */
  leaderlessMs (): number {
    return this.leadership.leaderlessMs(clock.now())
  }

  /** The same; undefined while a primary is known. */
  get missingMs (): number | undefined {
    return this.leader === undefined ? this.leaderlessMs() : undefined
  }

  /** Which statements wait for a missing resource. They only do where the group has assigned owners, since each owner then knows the load. */
  get retryPolicy (): RetryPolicy {
    return this.share.hasSpareConnections ? PATIENT_POLICY : FAIL_FAST_POLICY
  }

  /** The number of connections that this host may have to an endpoint. */
  get connections (): number {
    return this.share.connections
  }

  /** Recent time from sending a statement to its answer, in milliseconds. */
  get serviceMs (): number {
    return this.service.at(clock.now())
  }

  get chance (): () => number {
    return this.options.chance
  }

  /** Records a statement that was done `ms` after it was sent. */
  recordServiceTime (ms: number): void {
    this.service.add(ms, clock.now())
  }

  /**
   * Takes in a change of the directory; drops the state of endpoints that are gone or were replaced. `staleMs`: milliseconds for which
   * the store may have had the change.
   */
  updateDirectory (directory: Directory, staleMs: number): void {
    const before = this.directory
    this.directory = directory
    this.holders = this.holders.directoryChanged(this.endpoints, clock.age())
    this.setLeadership(this.leadership.directoryChanged(before, directory), 'directory')
    this.departures = this.departures.directoryChanged(this.endpoints, this.leader, staleMs, clock.age())
    for (const id of this.drained) this.forgetUndrained(id)
    for (const { id, startedAtMs } of this.endpoints) {
      const old = before.get(id)
      if (old !== undefined && old.startedAtMs !== startedAtMs) this.removeEndpoint(id)
    }
    for (const { id, places } of this.endpoints) this.connectionPools.get(id)?.resize(this.share, places)
    const ids = new Set(this.endpoints.map(({ id }) => id))
    for (const id of this.connectionPools.keys()) {
      if (!ids.has(id) && id !== this.leader) this.removeEndpoint(id)
    }
  }

  /** Changes this host's share of each endpoint's connections. */
  setShare (share: EndpointShare): void {
    const { connections, isOwner } = share
    if (connections !== this.share.connections) this.options.log.write('shareDealt', { group: this.id, connections, isOwner })
    this.share = share
    this.sharedLoad.setOwners(share.otherOwners)
    for (const [id, connectionPool] of this.connectionPools) connectionPool.resize(share, this.directory.get(id)?.places ?? connectionPool.endpoint.places)
  }

  /** Undefined if the announced handover was given up. */
  setHandover (handover: Handover | undefined): void {
    this.handover = handover
  }

  /** Whether a handover from the present primary is announced. */
  get isHandoverOpen (): boolean {
    const { leader, handover } = this
    return leader !== undefined && handover?.old === leader && handover.term >= this.term
  }

  /** The endpoint that must have received the commit of `endpoint` before it's acknowledged; undefined outside of a handover. */
  successorOf (endpoint: EndpointId, commit?: Token): EndpointId | undefined {
    return this.handover?.affects(endpoint, commit) === true ? this.handover.successor : undefined
  }

  /** The connection pool of the endpoint, created on first use; undefined for an endpoint that isn't listed. */
  connectionPool (id: EndpointId): ConnectionPool | undefined {
    const existing = this.connectionPools.get(id)
    if (existing !== undefined) return existing
    const endpoint = this.directory.get(id)
    if (endpoint === undefined) return undefined
    const { dialer, chance, startedAt } = this.options
    const { share, share: { hasSpareConnections }, options: { log, metrics } } = this
    const count = (places: number, queued: () => number) => Places.create({ endpoint: id, places, queued, others: this.sharedLoad, answers: () => this.readRouter.answers(id), log, metrics, chance })
    const onDialEnded = (outcome: 'opened' | DialFault, sentAt: Instant) => this.recordDial(id, outcome, sentAt)
    const connectionPool = ConnectionPool.create({ endpoint, dialer, chance, scarcity: hasSpareConnections ? ConnectionScarcity.none : ConnectionScarcity.started(startedAt), share, count, onDialEnded })
    this.connectionPools.set(id, connectionPool)
    return connectionPool
  }

  /** This host's load at the group's endpoints, for those where it's counted. */
  get loads (): readonly EndpointLoad[] {
    return [...this.connectionPools.values()].flatMap(({ load }) => load ?? [])
  }

  /** The log position that a read of at most `ageMs` staleness requires; undefined if only the primary can serve it. */
  requiredPosition (newestCommit: Token, ageMs: number): Token | undefined {
    return this.progress.requiredPosition(newestCommit, ageMs, clock.age())
  }

  /** Milliseconds since the primary's position was last asked for; undefined if it never was. */
  markAgeMs (): number | undefined {
    return this.progress.markAgeMs(clock.age())
  }

  /** Records an answer of the endpoint; `isLead`: only a primary can give this answer. */
  answered (id: EndpointId, position: Token | undefined, sentAt: Instant, isLead: boolean): void {
    this.recordReached(id, clock.now())
    if (position === undefined) return
    this.logStates.set(id, this.logState(id).answered(position, clock.now()))
    if (isLead) {
      this.progress = this.progress.with(position, sentAt)
      this.holders = this.holders.primaryAnswered(position, sentAt)
    }
    this.readRouter.answered(id, position)
    if (!isLead) return
    this.setLeadership(this.leadership.proved(id, position.term), 'proof')
  }

  /** The endpoint reports itself as the primary of the term. This is weaker than a proof, so it sets no position. */
  recordLeaderClaim (id: EndpointId, term: number): void {
    if (term < this.progress.term) return
    this.setLeadership(this.leadership.proved(id, term), 'status')
  }

  /** Records that the endpoint refused a read because its log was behind the required position. */
  recordBehind (id: EndpointId): void {
    this.logStates.set(id, this.logState(id).withRefusal(clock.now()))
    this.readRouter.recordBehind(id)
  }

  /** Records that the endpoint refused a statement because it isn't the primary. */
  recordNotPrimary (id: EndpointId): void {
    this.setLeadership(this.leadership.refused(id, clock.now()), 'refusal')
  }

  /** Records that something was sent to the endpoint. */
  recordRequest (id: EndpointId): void {
    const reachability = this.reachability(id)
    const next = reachability.asked(clock.now())
    if (next !== reachability) this.reachabilities.set(id, next)
  }

  /** Records a connection that broke or was refused. */
  recordNoAnswer (id: EndpointId): void {
    this.recordFailure(id, this.reachability(id).failed(clock.now()))
  }

  /** Records that what was sent to the endpoint at `sentAt`, on a connection or to open one, had no answer in time. */
  recordOutOfTime (id: EndpointId, sentAt: Instant): void {
    this.recordFailure(id, this.reachability(id).unanswered(sentAt, clock.now()))
  }

  close (): void {
    for (const id of this.connectionPools.keys()) this.removeEndpoint(id)
  }

  private recordFailure (id: EndpointId, reachability: Reachability): void {
    this.reachabilities.set(id, reachability)
    if (!reachability.isFailing(clock.now())) return
    if (id === this.leader) this.outage.begin()
    this.connectionPools.get(id)?.refuseWaiting()
    this.watchers.notify(id)
    if (this.unreached.has(id)) return
    this.unreached.add(id)
    this.options.log.write('endpointUnreachable', { endpoint: id, group: this.id, isLeader: id === this.leader })
  }

  private recordDial (id: EndpointId, outcome: 'opened' | DialFault, sentAt: Instant): void {
    this.options.metrics.dials.inc({ outcome })
    // An endpoint that reports too many connections is alive; one that closes them silently may be alive or dead.
    if (outcome === 'opened' || outcome === 'tooManyConnections') this.recordReached(id, clock.now())
    else if (outcome === 'outOfTime') this.recordOutOfTime(id, sentAt)
    else if (outcome !== 'turnedAway') this.recordNoAnswer(id)
  }

  private recordReached (id: EndpointId, now: Instant): void {
    const wasUnreachable = id === this.leader && this.isLeaderUnreachable()
    this.reachabilities.set(id, this.reachability(id).reached(now))
    if (wasUnreachable) this.outage.end()
    if (this.unreached.delete(id)) this.options.log.write('endpointReachable', { endpoint: id, group: this.id })
  }

  private readView (): ReturnType<Parameters<typeof ReadRouter.create>[1]> {
    const now = clock.now()
    return {
      endpoints: this.endpoints,
      primary: this.leader,
      progress: this.progress,
      isShared: this.share.hasSpareConnections,
      logState: id => this.logState(id),
      connectionPool: id => this.connectionPools.get(id),
      isReachable: id => !this.reachability(id).isUnreachable(now) && !this.isDrained(id)
    }
  }

  private logState (id: EndpointId): LogState {
    return this.logStates.get(id) ?? LogState.unknown
  }

  private setLeadership (next: Leadership, cause: string): void {
    const before = this.leadership.leader
    this.leadership = next
    if (next.leader === before) return
    this.options.metrics.leaderChanges.inc({ group: this.id })
    this.options.log.write('leaderChanged', { group: this.id, leader: next.leader ?? 'none', before: before ?? 'none', cause, term: this.progress.term, markAgeMs: Math.round(this.markAgeMs() ?? -1) })
    if (next.leader === undefined) this.outage.begin()
    else this.outage.recordReplaced()
  }

  /** An endpoint that stays after all gets requests again; if it's the primary, statements needn't wait for another. */
  private forgetUndrained (id: EndpointId): void {
    if (this.isDrained(id)) return
    this.drained.delete(id)
    if (id === this.leader) this.outage.end()
  }

  private removeEndpoint (id: EndpointId): void {
    this.connectionPools.get(id)?.close()
    this.connectionPools.delete(id)
    this.logStates.delete(id)
    this.readRouter.removeEndpoint(id)
    this.reachabilities.delete(id)
    this.unreached.delete(id)
  }
}
