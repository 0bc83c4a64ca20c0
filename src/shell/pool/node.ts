/** One process: follows the store, keeps its groups, and serves sessions. */

import { setTimeout as pause } from 'node:timers/promises'
import type { AllowanceBounds } from '../../core/allowance/bounds.ts'
import type { GroupId } from '../../core/id/group.ts'
import type { KeyDigest } from '../../core/pool/access/keydigest.ts'
import { permissionOf } from '../../core/pool/access/permission.ts'
import type { PoolConfig } from '../../core/pool/config.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { LoadPicture } from '../../core/pool/load/picture.ts'
import type { LinkId } from '../../core/pool/membership/linkid.ts'
import { Pace } from '../../core/pool/membership/pace.ts'
import type { Row } from '../../core/pool/membership/row.ts'
import type { TableName } from '../../core/pool/membership/tablename.ts'
import type { PoolHost } from '../../core/pool/placing/host.ts'
import { LineBudget } from '../../core/pool/statements/linebudget.ts'
import { MissedHosts } from '../../core/pool/placing/missedhosts.ts'
import { Ownership } from '../../core/pool/placing/ownership.ts'
import { SharedBudget } from '../../core/retry/budget.ts'
import type { Log } from '../log/log.ts'
import { Allowances } from './allowance/allowances.ts'
import { Appointments } from './allowance/appointments.ts'
import { Starts } from './allowance/starts.ts'
import type { TokenWay } from './allowance/tokenway.ts'
import type { Auditor } from './statements/auditor.ts'
import { clock } from './clock.ts'
import type { PoolContext } from './context.ts'
import { Configuration } from './membership/configuration.ts'
import { PoolGroup } from './group.ts'
import { pictureOf } from './load/picture.ts'
import { Listing } from './membership/listing.ts'
import type { PoolMetrics } from './metrics.ts'
import type { Platform } from './platform.ts'
import { Successor } from './succession/successor.ts'
import { Tables } from './membership/tables.ts'
import { Waiters } from './waiters.ts'

interface Options {
  readonly self: PoolHost
  /** Where hosts that the settings name take links; this one may be among them. */
  readonly seeds: readonly LinkId[]
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean
  /** Milliseconds within which a new configuration is to be in force. */
  readonly applyMs: number
  /** Milliseconds for which an endpoint serves after it said that it leaves. */
  readonly drainMs: number
  /** Milliseconds for which the store knows what changed. */
  readonly historyMs: number
  /** Milliseconds after which no host serves a key that was taken away, in touch or not; undefined where that isn't asked. */
  readonly revokeMs?: number | undefined
  /** How exactly allowances of teams are kept, and the way to those who issue them; undefined where teams have none. */
  readonly allowances?: { readonly bounds: AllowanceBounds, readonly port: TokenWay } | undefined
  readonly platform: Platform
  readonly log: Log
  readonly metrics: PoolMetrics
  readonly chance: () => number
  /** Undefined when the operator wants no records. */
  readonly auditor?: Auditor | undefined
}

/** Where what hosts tell each other through the store lies: leases, objections and handovers; */
const TABLE = 'agatepond'
/** and who is there. */
const ROLL_TABLE = 'agatepond-hosts'
/** The copy of the configuration. */
const COPIES_TABLE = 'agatepond-copies'
/** When hosts began to issue tokens. */
const STARTS_TABLE = 'agatepond-starts'
/** A host that is asked for something newer answers in milliseconds; one that doesn't must not hold a sign-in up. */
const CONSULT_MS = 300
/** How often each group's primary is looked at. */
const TICK_MS = 100
/** How often it's looked whether the hosts that issue tokens are there. */
const APPOINT_MS = 500

export class PoolNode {
  /** Where what hosts tell each other through the store lies. */
  static readonly table = TABLE
  /** Where the roll of hosts lies. */
  static readonly rollTable = ROLL_TABLE
  readonly context: PoolContext
  private readonly groups = new Map<GroupId, PoolGroup>()
  private readonly ownerships = new Map<GroupId, Ownership>()
  private readonly successors = new Map<GroupId, Successor>()
  /** Rows of the shared table that came before the configuration named their group. */
  private readonly sharedRows = new Map<string, Row>()
  private readonly listing: Listing
  private readonly tables: Tables
  private readonly configuration: Configuration
  private missed = MissedHosts.none
  /** Callers who came before the process was ready. */
  private readonly starting = Waiters.create()
  private readonly startedAt = clock.now()

  private readonly pace: Pace
  private readonly appointments: Appointments | undefined

  private constructor (private readonly options: Options, private readonly signal: AbortSignal) {
    const { log, metrics } = options
    this.pace = Pace.of(options)
    this.appointments = options.allowances === undefined ? undefined : this.createAppointments()
    this.context = {
      config: () => this.config,
      whenReady: async ms => await this.whenReady(ms),
      self: options.self.id,
      catchUp: async (version, host) => await this.catchUp(version, host),
      permission: (route, key) => {
        const { config } = this
        return permissionOf({ isOpen: config.isOpen(route), holder: config.holderOf(key), ageMs: this.tables.ageMs('config') }, this.pace)
      },
      allowances: options.allowances === undefined ? undefined : this.createAllowances(options.allowances),
      placesFor: (database, key) => this.placesFor(database, key),
      missedHost: id => { this.missed = this.missed.with(id, clock.now()) },
      dialHost: async (host, database, key, ms) => await options.platform.dialer.dialHost(host, database, this.config.version, key, ms),
      group: id => this.groups.get(id),
      budget: SharedBudget.create(clock.now()),
      lines: LineBudget.create(clock.now()),
      log,
      metrics,
      auditor: options.auditor
    }
    this.configuration = Configuration.create({ log, metrics, ...options.platform.config })
    this.listing = Listing.create({ log, parse: options.platform.endpoints.parse, onChange: () => this.spread() })
    this.tables = Tables.start({
      self: options.self,
      pace: this.pace,
      seeds: options.seeds,
      isFirstStart: options.isFirstStart,
      store: options.platform.store,
      names: { config: options.platform.config.table, endpoints: options.platform.endpoints.table, shared: TABLE, roll: ROLL_TABLE },
      copies: COPIES_TABLE,
      log,
      metrics,
      chance: options.chance,
      onNews: (table, rows) => this.heard(table, rows),
      onHosts: () => this.hostsChanged(),
      onEnough: () => this.letIn()
    }, signal)
  }

  /** Runs until the signal. */
  static start (options: Options, signal: AbortSignal): PoolNode {
    const node = new PoolNode(options, signal)
    node.watch()
    return node
  }

  private get config (): PoolConfig {
    return this.configuration.config
  }

  /**
   * Whether it can serve: with a configuration, the directory and the other hosts.
   *
   * Guard against a host that takes itself for the only one at its start: the callers that
   * wait for it would all be served by it and not by the owners, each on a connection of its own, for as long as
   * their sessions last. It shows, after all hosts lost their power, as endpoints that turn connections away and statements that
   * wait for one (a second and a half with 88 hosts).
   */
  get isReady (): boolean {
    return this.configuration.isKnown && this.tables.isEnough
  }

  /** What operators see of this host's load. */
  get load (): LoadPicture {
    return pictureOf(this.options.self.id, this.groups.values())
  }

  get hosts (): readonly PoolHost[] {
    return this.tables.hosts
  }

  /**
   * Guard against a session that is passed on to a host with an older
   * configuration, as one that the store turns away: its database may be unknown there,
   * although the host that passes it on knows it. The version comes with the
   * session, and a host that is behind asks the other one first.
   */
  private async catchUp (version: number, host: string): Promise<void> {
    if (version <= this.config.version) return
    const passing = this.hosts.find(({ id }) => id === host)
    if (passing === undefined) return
    const until = clock.now() + CONSULT_MS
    for (let left = CONSULT_MS; version > this.config.version && left > 0; left = until - clock.now()) await this.tables.consult(passing, left)
  }

  private async whenReady (ms: number): Promise<boolean> {
    if (!this.isReady) await this.starting.wait(ms)
    return this.isReady
  }

  /** Lets those in who came before the process was ready. */
  private letIn (): void {
    if (this.isReady) this.starting.wake()
  }

  /** Tells the other hosts that this one leaves. */
  async leave (): Promise<void> {
    await this.tables.leave()
  }

  private watch (): void {
    const timer = setInterval(() => {
      this.listing.forgetLapsed()
      for (const successor of this.successors.values()) successor.tick()
    }, TICK_MS)
    const appointing = setInterval(() => {
      if (this.isReady && this.tables.isKnown && this.config.teams?.some(({ rate }) => rate !== undefined) === true) this.appointments?.look()
    }, APPOINT_MS)
    this.signal.addEventListener('abort', () => {
      clearInterval(timer)
      clearInterval(appointing)
    })
  }

  private createAllowances ({ bounds, port }: NonNullable<Options['allowances']>): Allowances {
    const { self, isFirstStart, platform: { store }, metrics, chance } = this.options
    const starts = Starts.create({ store, table: STARTS_TABLE, windowMs: bounds.windowMs, metrics, signal: this.signal })
    return Allowances.create({
      self: self.id,
      bounds,
      trustMs: this.pace.sharedTrustMs,
      isFirstStart,
      // The monotonic clock begins with the process.
      bornAt: 0 as Instant,
      ageMs: () => this.tables.ageMs('shared'),
      team: id => this.config.team(id),
      hosts: () => this.hosts,
      port,
      metrics,
      chance,
      now: clock.now,
      age: clock.age,
      pause,
      onBegun: places => {
        starts.claim(places).then(free => free.forEach(place => this.context.allowances?.credit(place)))
      },
      onAsked: (place, isAnswered) => isAnswered ? this.appointments?.answered(place) : this.appointments?.silent(place)
    })
  }

  private createAppointments (): Appointments {
    const { self, platform: { store }, log, metrics } = this.options
    return Appointments.create({ self: self.id, store, table: TABLE, hosts: () => this.hosts, trustMs: this.pace.sharedTrustMs, log, metrics, signal: this.signal })
  }

  private heard (table: TableName, rows: readonly Row[]): void {
    switch (table) {
      case 'config': this.configured(rows); break
      case 'endpoints': this.listing.take(rows); break
      case 'shared': this.shared(rows); break
      case 'roll': break
    }
    this.letIn()
  }

  private configured (rows: readonly Row[]): void {
    if (!this.configuration.take(rows)) return
    this.regroup()
  }

  /** Tells the groups what the directory says now. */
  private spread (): void {
    for (const group of this.groups.values()) group.listed(this.listing.directory)
  }

  private shared (rows: readonly Row[]): void {
    for (const row of rows) {
      if (row.key === Appointments.key) this.appointed(row)
      const [kind, name] = row.key.split('/')
      if (kind === 'lease' || kind === 'handover') this.sharedRows.set(row.key, row)
      const successor = this.successors.get(name as GroupId)
      if (kind === 'lease') successor?.leaseChanged(row)
      if (kind === 'objection') successor?.objectionMade(row)
      if (kind === 'handover') successor?.handoverAnnounced(row)
    }
  }

  private appointed (row: Row): void {
    this.appointments?.learnt(row)
    if (row.value !== undefined) this.context.allowances?.learnt(row.value)
  }

  private regroup (): void {
    const wanted = new Set(this.config.groups.map(({ id }) => id))
    for (const [id, group] of this.groups) {
      if (wanted.has(id)) continue
      group.close()
      this.groups.delete(id)
      this.successors.delete(id)
    }
    for (const id of wanted) {
      if (this.groups.has(id)) continue
      const { self, platform, log, metrics, chance } = this.options
      const group = PoolGroup.create({ id, dataCentre: self.dataCentre, dialer: platform.dialer, log, metrics, chance, startedAt: this.startedAt })
      group.listed(this.listing.directory)
      this.groups.set(id, group)
      this.successors.set(id, this.successorOf(group))
    }
    this.resize()
  }

  private successorOf (group: PoolGroup): Successor {
    const { self, platform, log, metrics, drainMs } = this.options
    const successor = Successor.create({
      host: self.id,
      drainMs,
      group,
      platform,
      table: TABLE,
      log,
      metrics,
      hosts: () => this.hosts,
      turns: () => this.ownerships.get(group.id)?.turns ?? [self.id],
      isSynchronous: () => this.config.group(group.id)?.isSynchronous === true,
      signal: this.signal
    })
    const lease = this.sharedRows.get(`lease/${group.id}`)
    const handover = this.sharedRows.get(`handover/${group.id}`)
    if (lease !== undefined) successor.leaseChanged(lease)
    if (handover !== undefined) successor.handoverAnnounced(handover)
    return successor
  }

  private placesFor (database: string, key: KeyDigest | undefined): readonly PoolHost[] {
    const { config } = this
    const route = config.route(database)
    const team = config.holderOf(key)
    const part = team === undefined ? undefined : { id: team.id, share: config.shareOf(team) }
    const places = route === undefined ? [] : this.ownerships.get(route.group)?.placesFor(this.options.self, part) ?? []
    return this.missed.last(places, clock.now())
  }

  private hostsChanged (): void {
    this.resize()
    this.letIn()
  }

  private resize (): void {
    const { hosts } = this
    const { self } = this.options
    this.ownerships.clear()
    for (const { id, connections } of this.config.groups) {
      const ownership = Ownership.of(id, hosts, connections, this.config.teams !== undefined)
      this.ownerships.set(id, ownership)
      const isOwner = ownership.isOwner(self.id)
      this.groups.get(id)?.resize({ connections: isOwner ? ownership.share : 1, isOwner, hasRoom: isOwner && ownership.hasRoom })
    }
  }
}
