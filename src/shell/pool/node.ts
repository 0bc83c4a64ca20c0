/** One process: follows the store, keeps its groups, and serves sessions. */

import type { KeyDigest } from '../../core/pool/access/keydigest.ts'
import { permissionOf } from '../../core/pool/access/permission.ts'
import type { PoolConfig } from '../../core/pool/config.ts'
import type { LoadSnapshot } from '../../core/pool/load/loadsnapshot.ts'
import { SyncTimings } from '../../core/pool/membership/synctimings.ts'
import type { Row } from '../../core/pool/membership/row.ts'
import type { TableName } from '../../core/pool/membership/tablename.ts'
import type { PoolHost } from '../../core/pool/placing/host.ts'
import { LogRateLimiter } from '../../core/pool/statements/logratelimiter.ts'
import { UnreachableHosts } from '../../core/pool/placing/unreachablehosts.ts'
import { SharedRetryBudget } from '../../core/retry/sharedretrybudget.ts'
import { AllowanceService } from './allowance/allowanceservice.ts'
import { clock } from './clock.ts'
import type { PoolContext } from './context.ts'
import { Configuration } from './membership/configuration.ts'
import { PoolGroups } from './groups.ts'
import type { LoadTransport } from './load/loadtransport.ts'
import { LoadReporter } from './load/loadreporter.ts'
import { loadSnapshotOf } from './load/loadsnapshotof.ts'
import { EndpointListing } from './membership/endpointlisting.ts'
import type { NodeOptions } from './nodeoptions.ts'
import { TableReplicator } from './membership/tablereplicator.ts'
import { Waiters } from './waiters.ts'

/** Where what hosts tell each other through the store lies: leases, objections and handovers; */
const TABLE = 'agatepond'
/** and who is there. */
const ROLL_TABLE = 'agatepond-hosts'
/** The copy of the configuration. */
const COPIES_TABLE = 'agatepond-copies'
/** A host that is asked for something newer answers in milliseconds; one that doesn't must not hold a sign-in up. */
const CATCH_UP_MS = 300
/** How often each group's primary is looked at, and its load is told. */
const TICK_MS = 100
/** How often it's looked whether the hosts that issue tokens are there. */
const ISSUER_CHECK_MS = 500

export class PoolNode {
  /** Where what hosts tell each other through the store lies. */
  static readonly table = TABLE
  /** Where the roll of hosts lies. */
  static readonly rollTable = ROLL_TABLE
  readonly context: PoolContext
  private readonly groups: PoolGroups
  private readonly listing: EndpointListing
  private readonly tableReplicator: TableReplicator
  private readonly configuration: Configuration
  private unreachableHosts = UnreachableHosts.none
  /** Callers who came before the process was ready. */
  private readonly startWaiters = Waiters.create()
  private readonly startedAt = clock.now()

  private readonly pace: SyncTimings
  private readonly allowanceService: AllowanceService | undefined
  private readonly reporter: LoadReporter | undefined

  private constructor (private readonly options: NodeOptions, private readonly signal: AbortSignal) {
    const { log, metrics } = options
    this.pace = SyncTimings.of(options)
    this.allowanceService = options.allowances === undefined ? undefined : this.createAllowanceService(options.allowances)
    this.context = {
      config: () => this.config,
      whenReady: async ms => await this.whenReady(ms),
      self: options.self.id,
      catchUpConfig: async (version, host) => await this.catchUpConfig(version, host),
      permission: (route, key) => {
        const { config } = this
        return permissionOf({ isPublic: config.isPublic(route), holder: config.holderOf(key), ageMs: this.tableReplicator.ageMs('config') }, this.pace)
      },
      allowances: this.allowanceService?.allowances,
      forwardingTargets: (database, key) => this.forwardingTargets(database, key),
      reportUnreachableHost: id => { this.unreachableHosts = this.unreachableHosts.with(id, clock.now()) },
      dialHost: async (host, database, key, ms) => await options.platform.dialer.dialHost(host, database, this.config.version, key, ms),
      group: id => this.groups.get(id),
      retryBudget: SharedRetryBudget.create(clock.now()),
      lineBudget: LogRateLimiter.create(clock.now()),
      log,
      metrics,
      auditor: options.auditor
    }
    this.configuration = Configuration.create({ log, metrics, ...options.platform.config })
    this.listing = EndpointListing.create({ log, parse: options.platform.endpoints.parse, onChange: () => this.groups.updateDirectory() })
    this.groups = PoolGroups.create({
      ...options, table: TABLE, startedAt: this.startedAt, config: () => this.config, directory: () => this.listing.directory, hosts: () => this.hosts, signal
    })
    this.reporter = options.loadTransport === undefined ? undefined : this.createReporter(options.loadTransport)
    this.tableReplicator = TableReplicator.start({
      self: options.self,
      pace: this.pace,
      seeds: options.seeds,
      isFirstStart: options.isFirstStart,
      store: options.platform.store,
      names: { config: options.platform.config.table, endpoints: options.platform.endpoints.table, shared: TABLE, roll: ROLL_TABLE },
      copyTable: COPIES_TABLE,
      log,
      metrics,
      chance: options.chance,
      onRows: (table, rows) => this.heard(table, rows),
      onHostsChange: () => this.hostsChanged(),
      onReady: () => this.wakeIfReady()
    }, signal)
  }

  /** Runs until the signal. */
  static start (options: NodeOptions, signal: AbortSignal): PoolNode {
    const node = new PoolNode(options, signal)
    node.startTimers()
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
    return this.configuration.isKnown && this.tableReplicator.isReady
  }

  /** What operators see of this host's load. */
  get load (): LoadSnapshot {
    return loadSnapshotOf(this.options.self.id, this.groups.all)
  }

  get hosts (): readonly PoolHost[] {
    return this.tableReplicator.hosts
  }

  /**
   * Guard against a session that is passed on to a host with an older
   * configuration, as one that the store turns away: its database may be unknown there,
   * although the host that passes it on knows it. The version comes with the
   * session, and a host that is behind asks the other one first.
   */
  private async catchUpConfig (version: number, host: string): Promise<void> {
    if (version <= this.config.version) return
    const passing = this.hosts.find(({ id }) => id === host)
    if (passing === undefined) return
    const until = clock.now() + CATCH_UP_MS
    for (let left = CATCH_UP_MS; version > this.config.version && left > 0; left = until - clock.now()) await this.tableReplicator.consult(passing, left)
  }

  private async whenReady (ms: number): Promise<boolean> {
    if (!this.isReady) await this.startWaiters.wait(ms)
    return this.isReady
  }

  /** Lets those in who came before the process was ready. */
  private wakeIfReady (): void {
    if (this.isReady) this.startWaiters.wake()
  }

  /** Tells the other hosts that this one leaves. */
  async leave (): Promise<void> {
    await this.tableReplicator.leave()
  }

  private startTimers (): void {
    const timer = setInterval(() => {
      this.listing.removeLapsed()
      this.groups.tick()
      this.reporter?.tick()
    }, TICK_MS)
    const appointing = setInterval(() => {
      if (this.isReady && this.tableReplicator.isKnown && this.config.teams?.some(({ rate }) => rate !== undefined) === true) this.allowanceService?.tick()
    }, ISSUER_CHECK_MS)
    this.signal.addEventListener('abort', () => {
      clearInterval(timer)
      clearInterval(appointing)
    })
  }

  private createAllowanceService ({ bounds, port }: NonNullable<NodeOptions['allowances']>): AllowanceService {
    const { self, isFirstStart, platform: { store }, log, metrics, chance } = this.options
    return AllowanceService.create({
      self: self.id,
      bounds,
      port,
      isFirstStart,
      trustMs: this.pace.maxSharedAgeMs,
      ageMs: () => this.tableReplicator.ageMs('shared'),
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
      case 'config': this.applyConfig(rows); break
      case 'endpoints': this.listing.applyRows(rows); break
      case 'shared': this.shared(rows); break
      case 'roll': break
    }
    this.wakeIfReady()
  }

  private applyConfig (rows: readonly Row[]): void {
    if (!this.configuration.apply(rows)) return
    this.groups.applyConfig()
  }

  private shared (rows: readonly Row[]): void {
    for (const row of rows) {
      this.allowanceService?.applySharedRow(row)
      this.groups.applySharedRow(row)
    }
  }

  private forwardingTargets (database: string, key: KeyDigest | undefined): readonly PoolHost[] {
    const { config } = this
    const route = config.route(database)
    const team = config.holderOf(key)
    const part = team === undefined ? undefined : { id: team.id, share: config.shareOf(team) }
    const places = route === undefined ? [] : this.groups.ownership(route.group)?.forwardingTargets(this.options.self, part) ?? []
    return this.unreachableHosts.last(places, clock.now())
  }

  private hostsChanged (): void {
    this.groups.assignOwners()
    this.wakeIfReady()
  }

  private createReporter (way: LoadTransport): LoadReporter {
    const { self, log, metrics } = this.options
    return LoadReporter.create({ self: self.id, incarnation: Date.now(), transport: way, groups: () => this.groups.all, group: id => this.groups.get(id), now: clock.now, age: clock.age, log, metrics })
  }
}
