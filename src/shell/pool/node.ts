/** One process: follows the store, keeps its groups, and serves sessions. */

import type { KeyDigest } from '../../core/pool/access/keydigest.ts'
import { permissionOf } from '../../core/pool/access/permission.ts'
import type { PoolConfig } from '../../core/pool/config.ts'
import type { LoadPicture } from '../../core/pool/load/picture.ts'
import { Pace } from '../../core/pool/membership/pace.ts'
import type { Row } from '../../core/pool/membership/row.ts'
import type { TableName } from '../../core/pool/membership/tablename.ts'
import type { PoolHost } from '../../core/pool/placing/host.ts'
import { LineBudget } from '../../core/pool/statements/linebudget.ts'
import { MissedHosts } from '../../core/pool/placing/missedhosts.ts'
import { SharedRetryBudget } from '../../core/retry/sharedretrybudget.ts'
import { Issuing } from './allowance/issuing.ts'
import { clock } from './clock.ts'
import type { PoolContext } from './context.ts'
import { Configuration } from './membership/configuration.ts'
import { PoolGroups } from './groups.ts'
import type { LoadWay } from './load/loadway.ts'
import { Reporter } from './load/reporter.ts'
import { pictureOf } from './load/picture.ts'
import { Listing } from './membership/listing.ts'
import type { NodeOptions } from './nodeoptions.ts'
import { Tables } from './membership/tables.ts'
import { Waiters } from './waiters.ts'

/** Where what hosts tell each other through the store lies: leases, objections and handovers; */
const TABLE = 'agatepond'
/** and who is there. */
const ROLL_TABLE = 'agatepond-hosts'
/** The copy of the configuration. */
const COPIES_TABLE = 'agatepond-copies'
/** A host that is asked for something newer answers in milliseconds; one that doesn't must not hold a sign-in up. */
const CONSULT_MS = 300
/** How often each group's primary is looked at, and its load is told. */
const TICK_MS = 100
/** How often it's looked whether the hosts that issue tokens are there. */
const APPOINT_MS = 500

export class PoolNode {
  /** Where what hosts tell each other through the store lies. */
  static readonly table = TABLE
  /** Where the roll of hosts lies. */
  static readonly rollTable = ROLL_TABLE
  readonly context: PoolContext
  private readonly groups: PoolGroups
  private readonly listing: Listing
  private readonly tables: Tables
  private readonly configuration: Configuration
  private missed = MissedHosts.none
  /** Callers who came before the process was ready. */
  private readonly starting = Waiters.create()
  private readonly startedAt = clock.now()

  private readonly pace: Pace
  private readonly issuing: Issuing | undefined
  private readonly reporter: Reporter | undefined

  private constructor (private readonly options: NodeOptions, private readonly signal: AbortSignal) {
    const { log, metrics } = options
    this.pace = Pace.of(options)
    this.issuing = options.allowances === undefined ? undefined : this.createIssuing(options.allowances)
    this.context = {
      config: () => this.config,
      whenReady: async ms => await this.whenReady(ms),
      self: options.self.id,
      catchUp: async (version, host) => await this.catchUp(version, host),
      permission: (route, key) => {
        const { config } = this
        return permissionOf({ isOpen: config.isOpen(route), holder: config.holderOf(key), ageMs: this.tables.ageMs('config') }, this.pace)
      },
      allowances: this.issuing?.allowances,
      placesFor: (database, key) => this.placesFor(database, key),
      missedHost: id => { this.missed = this.missed.with(id, clock.now()) },
      dialHost: async (host, database, key, ms) => await options.platform.dialer.dialHost(host, database, this.config.version, key, ms),
      group: id => this.groups.get(id),
      budget: SharedRetryBudget.create(clock.now()),
      lines: LineBudget.create(clock.now()),
      log,
      metrics,
      auditor: options.auditor
    }
    this.configuration = Configuration.create({ log, metrics, ...options.platform.config })
    this.listing = Listing.create({ log, parse: options.platform.endpoints.parse, onChange: () => this.groups.listed() })
    this.groups = PoolGroups.create({
      ...options, table: TABLE, startedAt: this.startedAt, config: () => this.config, directory: () => this.listing.directory, hosts: () => this.hosts, signal
    })
    this.reporter = options.loads === undefined ? undefined : this.createReporter(options.loads)
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
  static start (options: NodeOptions, signal: AbortSignal): PoolNode {
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
    return pictureOf(this.options.self.id, this.groups.all)
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
      this.groups.tick()
      this.reporter?.look()
    }, TICK_MS)
    const appointing = setInterval(() => {
      if (this.isReady && this.tables.isKnown && this.config.teams?.some(({ rate }) => rate !== undefined) === true) this.issuing?.look()
    }, APPOINT_MS)
    this.signal.addEventListener('abort', () => {
      clearInterval(timer)
      clearInterval(appointing)
    })
  }

  private createIssuing ({ bounds, port }: NonNullable<NodeOptions['allowances']>): Issuing {
    const { self, isFirstStart, platform: { store }, log, metrics, chance } = this.options
    return Issuing.create({
      self: self.id,
      bounds,
      port,
      isFirstStart,
      trustMs: this.pace.sharedTrustMs,
      ageMs: () => this.tables.ageMs('shared'),
      team: id => this.config.team(id),
      hosts: () => this.hosts,
      store,
      table: TABLE,
      log,
      metrics,
      chance,
      signal: this.signal
    })
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
    this.groups.configured()
  }

  private shared (rows: readonly Row[]): void {
    for (const row of rows) {
      this.issuing?.told(row)
      this.groups.told(row)
    }
  }

  private placesFor (database: string, key: KeyDigest | undefined): readonly PoolHost[] {
    const { config } = this
    const route = config.route(database)
    const team = config.holderOf(key)
    const part = team === undefined ? undefined : { id: team.id, share: config.shareOf(team) }
    const places = route === undefined ? [] : this.groups.ownership(route.group)?.placesFor(this.options.self, part) ?? []
    return this.missed.last(places, clock.now())
  }

  private hostsChanged (): void {
    this.groups.resize()
    this.letIn()
  }

  private createReporter (way: LoadWay): Reporter {
    const { self, log, metrics } = this.options
    return Reporter.create({ self: self.id, life: Date.now(), way, groups: () => this.groups.all, group: id => this.groups.get(id), now: clock.now, age: clock.age, log, metrics })
  }
}
