/**
 * A model of one group in virtual time: hosts, three endpoints of which the first is
 * primary, and callers who come back. Admission, shares, progress, standings
 * and the choice of an endpoint for a read are the product's own.
 */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { AdmissionRequest } from '../../src/core/admission/request.ts'
import type { Endpoint } from '../../src/core/directory/endpoint.ts'
import type { CallerId } from '../../src/core/id/caller.ts'
import type { DataCentreId } from '../../src/core/id/datacentre.ts'
import type { EndpointId } from '../../src/core/id/endpoint.ts'
import type { GroupId } from '../../src/core/id/group.ts'
import type { Instant } from '../../src/core/id/instant.ts'
import { readCandidates } from '../../src/core/pool/reads/candidates.ts'
import { Token } from '../../src/core/token.ts'
import { Agenda } from '../load/agenda.ts'
import { ModelEndpoint } from './endpoint.ts'
import { ModelHost } from './host.ts'
import type { Kind } from './kind.ts'
import type { Load } from './load.ts'
import type { Operation } from './operation.ts'
import { Outcomes } from './outcomes.ts'
import type { GroupPolicy } from './policy.ts'
import { spreadReports } from './reports.ts'

const ENDPOINTS = 3
const PRIMARY = 0
const PLACES = 2
const MOST_QUEUED = 16
const CONNECT_MS = 12
const LINGER_MS = 3000
/** A caller comes back so often, so long after a refusal. */
const RETRIES = 2
const BACK_OFF_MS = 60
/** The longest time of a statement, as the callers' routes set it. */
const STATEMENT_MS = 800
/** Between two statements of a transaction: the way to the caller and back. */
const PAUSE_MS = 6
const MOST_STATEMENTS = 6
/** After its power is back a host takes callers within so long. */
const START_MS = 400
const TRIES = 4
const UINT32 = 0x100000000
const DATA_CENTRES = 3

/** One run. The same seed gives the same counts on every machine. */
export class GroupModel {
  readonly outcomes = Outcomes.create()
  /** Reads that were sent to a replica whose log was short. */
  inVain = 0
  private readonly agenda = Agenda.create()
  private readonly endpoints: readonly ModelEndpoint[]
  private readonly hosts: Array<ModelHost | undefined>
  private readonly listed: readonly Endpoint[]
  private readonly commits: number[] = []
  private readonly generator: ReturnType<typeof xoroshiro128plus>
  private nextId = 1

  private constructor (private readonly load: Load, private readonly policy: GroupPolicy, seed: number) {
    this.generator = xoroshiro128plus(seed)
    const { agenda } = this
    this.endpoints = Array.from({ length: ENDPOINTS }, () => ModelEndpoint.create({ agenda, places: load.places ?? PLACES, mostQueued: load.mostQueued ?? MOST_QUEUED, mostConnections: load.connections, lingerMs: LINGER_MS }))
    this.listed = this.endpoints.map((_, i) => ({
      id: `e${i}` as EndpointId, group: 'g' as GroupId, address: { ip: '10.0.0.1', port: i + 1 }, dataCentre: `z${i}` as DataCentreId, isLeaving: false, isPrimary: i === PRIMARY, places: load.places ?? PLACES
    }))
    this.hosts = Array.from({ length: load.hosts }, () => this.start())
  }

  static run (load: Load, policy: GroupPolicy, seed: number): GroupModel {
    const it = new GroupModel(load, policy, seed)
    for (const kind of load.kinds) it.scheduleNext(kind)
    if (load.outage !== undefined) it.cutPower(load.outage)
    if (policy.reportMs !== undefined && Number.isFinite(policy.reportMs)) it.report(policy.reportMs)
    it.agenda.runUntil(load.endMs + Math.max(...load.kinds.map(({ deadlineMs }) => deadlineMs)))
    return it
  }

  /** The work of the busiest endpoint to the mean over all. */
  get busiest (): number {
    const worked = this.endpoints.map(({ workedMs }) => workedMs)
    return Math.max(...worked) * worked.length / worked.reduce((sum, ms) => sum + ms, 0)
  }

  private report (everyMs: number): void {
    spreadReports(this.hosts, this.listed)
    this.agenda.add(everyMs, () => this.report(everyMs))
  }

  private start (): ModelHost {
    const { agenda, endpoints, policy, load } = this
    return ModelHost.start({ agenda, endpoints, policy, connections: policy.share(load.connections, load.hosts), chance: () => this.chance(), connectMs: CONNECT_MS })
  }

  private cutPower ({ at, ms }: NonNullable<Load['outage']>): void {
    this.agenda.add(at, () => {
      this.hosts.forEach((host, i) => {
        host?.die()
        this.hosts[i] = undefined
        this.agenda.add(ms + this.chance() * START_MS, () => { this.hosts[i] = this.start() })
      })
    })
  }

  private chance (): number {
    return (this.generator.next() >>> 0) / UINT32
  }

  private exponential (mean: number): number {
    return -mean * Math.log(1 - this.chance())
  }

  private scheduleNext (kind: Kind): void {
    this.agenda.add(this.exponential(1000 / kind.perSecond), () => {
      if (this.agenda.now > this.load.endMs) return
      this.ask(kind)
      this.scheduleNext(kind)
    })
  }

  private ask (kind: Kind): void {
    const isTransaction = this.chance() < kind.transactions
    const isWrite = this.chance() < kind.writes
    const statements = isTransaction ? 1 + Math.ceil(this.chance() * MOST_STATEMENTS) + (isWrite ? 1 : 0) : 1
    const operation: Operation = { kind, askedAt: this.agenda.now, isTransaction, isWrite, statements, tries: 0, isOver: false, wasLent: false }
    this.agenda.add(kind.deadlineMs, () => this.end(operation, 'failed'))
    this.begin(operation)
  }

  private end (operation: Operation, outcome: Parameters<Outcomes['add']>[2]): void {
    if (operation.isOver) return
    operation.isOver = true
    if (!operation.wasLent && outcome !== 'inAim') this.outcomes.hopeless++
    this.outcomes.add(operation.kind.name, operation.askedAt, outcome)
  }

  /** One try of the caller, at a host that chance picks. */
  private begin (operation: Operation): void {
    if (operation.isOver) return
    const at = Math.floor(this.chance() * this.hosts.length)
    const host = this.hosts[at]
    if (host === undefined) return this.refused(operation)
    this.tryAt(operation, host, at, new Set())
  }

  private refused (operation: Operation): void {
    if (operation.isOver) return
    if (operation.tries++ >= RETRIES) return this.end(operation, 'refused')
    this.agenda.add(BACK_OFF_MS * (1 + this.chance()), () => this.begin(operation))
  }

  /** The next endpoint that may serve it, as the product chooses it. */
  private tryAt (operation: Operation, host: ModelHost, hostAt: number, tried: ReadonlySet<number>): void {
    if (operation.isOver || tried.size >= TRIES) return this.refused(operation)
    const { kind, isWrite } = operation
    const { now } = this.agenda
    const bound = isWrite || kind.staleMs === 0 ? undefined : host.progress.requiredPosition(Token.zero, kind.staleMs, now as Instant)
    const { at, waitMs } = bound === undefined ? { at: PRIMARY, waitMs: 0 } : this.readerOf(host, hostAt, bound, tried)
    if (waitMs === 0) return this.sendTo(at, bound, operation, host, hostAt, tried)
    this.agenda.add(waitMs, () => this.sendTo(at, bound, operation, host, hostAt, tried))
  }

  private sendTo (at: number, bound: Token | undefined, operation: Operation, host: ModelHost, hostAt: number, tried: ReadonlySet<number>): void {
    const { kind } = operation
    const { now } = this.agenda
    const isReplica = at !== PRIMARY
    const id = this.nextId++
    const request: AdmissionRequest = { id, rank: kind.rank, caller: kind.name as CallerId, deadline: now + STATEMENT_MS as Instant, aim: this.policy.aim?.(operation.askedAt, kind.aimMs) as Instant | undefined, isTransaction: operation.isTransaction }
    host.borrow(at, request, isLent => {
      if (!isLent) return isReplica ? this.tryAt(operation, host, hostAt, new Set([...tried, at])) : this.refused(operation)
      if (isReplica && !this.holds(bound!)) {
        this.inVain++
        this.showed(host, at)
        host.reads.recordRefusal(this.listed[at]!.id, this.agenda.now as Instant)
        host.standings[at] = host.standings[at]!.withRefusal(this.agenda.now as Instant)
        host.giveBack(at, id)
        return this.tryAt(operation, host, hostAt, new Set([...tried, at]))
      }
      operation.wasLent = true
      this.runAll(operation, host, at, id, operation.statements)
    })
  }

  private readerOf (host: ModelHost, hostAt: number, bound: Token, tried: ReadonlySet<number>): { readonly at: number, readonly waitMs: number } {
    const now = this.agenda.now as Instant
    const indexOf = (id: EndpointId) => this.listed.findIndex(endpoint => endpoint.id === id)
    const view = {
      endpoints: this.listed,
      primary: this.listed[PRIMARY]!.id,
      dataCentre: `z${hostAt % DATA_CENTRES}` as DataCentreId,
      logState: (id: EndpointId) => host.standings[indexOf(id)]!,
      needsNewConnection: () => false,
      queued: (id: EndpointId) => host.queued(indexOf(id)),
      isReachable: (id: EndpointId) => indexOf(id) === PRIMARY || Number.isFinite(this.load.lagMs(now))
    }
    if (this.policy.order === undefined) {
      const at = readCandidates(view, bound, now).map(indexOf).find(one => !tried.has(one)) ?? PRIMARY
      return { at, waitMs: 0 }
    }
    host.reads.evaluateHealth(view, now)
    const mayHold = (id: EndpointId) => view.logState(id).mayContain(bound, now)
    const triedIds = new Set([...tried].map(at => this.listed[at]!.id))
    const placed = host.reads.place({ ...view, mayContain: mayHold, progress: host.progress, remainingMs: STATEMENT_MS }, bound, triedIds, { now, age: now }, () => this.chance())
    return placed === undefined ? { at: PRIMARY, waitMs: 0 } : { at: indexOf(placed.endpoint), waitMs: placed.waitMs }
  }

  /** What the endpoint's answer shows of its log. */
  private showed (host: ModelHost, at: number): void {
    const now = this.agenda.now as Instant
    const position = Token.of(1, at === PRIMARY ? this.commits.length : this.applied)
    if (this.policy.order !== undefined) host.standings[at] = host.standings[at]!.answered(position, now)
    host.reads.answered(this.listed[at]!.id, position, host.progress, now)
  }

  /** How many commits replicas have by now. */
  private get applied (): number {
    const since = this.agenda.now - this.load.lagMs(this.agenda.now)
    return this.commits.filter(at => at <= since).length
  }

  /** Whether replicas have the commit by now. */
  private holds (bound: Token): boolean {
    return !bound.isAfter(Token.of(1, this.applied))
  }

  private runAll (operation: Operation, host: ModelHost, at: number, id: number, left: number): void {
    const sentAt = this.agenda.now as Instant
    const endpoint = this.listed[at]!
    const ended = host.reads.health.sent(endpoint.id, host.reads.statementsPerPlace(endpoint, sentAt), sentAt)
    const workMs = this.exponential(operation.kind.workMs) * (this.load.slowness?.(at, sentAt) ?? 1)
    const isDone = this.endpoints[at]!.work(workMs, () => {
      ended('done', this.agenda.now as Instant)
      if (operation.isWrite && left === 1) this.commits.push(this.agenda.now)
      if (at === PRIMARY) host.progress = host.progress.with(Token.of(1, this.commits.length), sentAt)
      this.showed(host, at)
      if (left > 1) return this.agenda.add(PAUSE_MS, () => this.runAll(operation, host, at, id, left - 1))
      host.giveBack(at, id)
      const tookMs = this.agenda.now - operation.askedAt
      this.end(operation, tookMs <= operation.kind.aimMs ? 'inAim' : 'late')
    })
    if (isDone) return
    ended('notRun', sentAt)
    host.giveBack(at, id)
    this.refused(operation)
  }
}
