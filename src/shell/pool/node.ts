/** The root object of a process: follows the store, maintains the groups, and serves sessions. */

import type { KeyDigest } from '../../core/pool/access/keydigest.ts'
import { permissionOf } from '../../core/pool/access/permission.ts'
import type { PoolConfig } from '../../core/pool/config.ts'
import type { LoadSnapshot } from '../../core/pool/load/loadsnapshot.ts'
import { SyncTimings } from '../../core/pool/membership/synctimings.ts'
import type { Row } from '../../core/pool/membership/row.ts'
import type { TableName } from '../../core/pool/membership/tablename.ts'
import type { PoolHost } from '../../core/pool/placing/host.ts'
import { LogRateLimiter } from '../../core/pool/statements/logratelimiter.ts'
import { sampleHosts } from '../../core/pool/placing/samplehosts.ts'
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

/** Store table for leases, objections and handovers. */
const SHARED_TABLE = 'agatepond'
/** Store table of the hosts that are alive. */
const REGISTRY_TABLE = 'agatepond-hosts'
/** Store table of the compressed copy of the configuration. */
const COPIES_TABLE = 'agatepond-copies'
/** Longest wait for a newer configuration from another host, so that a sign-in isn't delayed by a host that doesn't answer. */
const CATCH_UP_TIMEOUT_MS = 300
/** Interval at which each group's primary is checked and its load reported. */
const TICK_INTERVAL_MS = 100
/** Interval at which the hosts that issue tokens are checked. */
const ISSUER_CHECK_INTERVAL_MS = 500
/** Few, since each of them gets a connection, and enough for one to be alive while half of all hosts are down. */
const COMPARED_HOSTS = 3

export class PoolNode {
  /** The store table that all hosts share. */
  static readonly table = SHARED_TABLE
  /** The store table of the hosts that are alive. */
  static readonly rollTable = REGISTRY_TABLE
  readonly context: PoolContext
  private readonly groups: PoolGroups
  private readonly listing: EndpointListing
  private readonly tableReplicator: TableReplicator
  private readonly configuration: Configuration
  private unreachableHosts = UnreachableHosts.none
  /** Callers that wait until the process is ready. */
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
      otherHosts: id => sampleHosts(this.hosts, new Set([id, options.self.id]), COMPARED_HOSTS, options.chance()),
      dialHost: async (host, database, key, ms) => await options.platform.dialer.dialHost(host, database, this.config.version, key, ms),
      group: id => this.groups.get(id),
      retryBudget: SharedRetryBudget.create(clock.now()),
      lineBudget: LogRateLimiter.create(clock.now()),
      log,
      metrics,
      auditor: options.auditor
    }
    this.configuration = Configuration.create({ log, metrics, ...options.platform.config })
    this.listing = EndpointListing.create({ log, parse: options.platform.endpoints.parse, onChange: staleMs => this.groups.updateDirectory(staleMs) })
    this.groups = PoolGroups.create({
      ...options, table: SHARED_TABLE, startedAt: this.startedAt, config: () => this.config, directory: () => this.listing.directory, hosts: () => this.hosts, signal
    })
    this.reporter = options.loadTransport === undefined ? undefined : this.createReporter(options.loadTransport)
    this.tableReplicator = TableReplicator.start({
      self: options.self,
      pace: this.pace,
      seeds: options.seeds,
      isFirstStart: options.isFirstStart,
      store: options.platform.store,
      names: { config: options.platform.config.table, endpoints: options.platform.endpoints.table, shared: SHARED_TABLE, roll: REGISTRY_TABLE },
      copyTable: COPIES_TABLE,
      log,
      metrics,
      chance: options.chance,
      onRows: (table, rows, staleMs) => this.heard(table, rows, staleMs),
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
   * Whether it knows the configuration, the directory and the other hosts.
   *
   * The other hosts must be known, since a host that takes itself for the only one would serve all callers that wait for it
   * instead of forwarding them to the owners, each on a connection of its own, for as long as their sessions last. After a power loss of
   * all hosts, endpoints then turn connections away and statements wait for one: a second and a half with 88 hosts.
   */
  get isReady (): boolean {
    return this.configuration.isKnown && this.tableReplicator.isReady
  }

  /** This host's load, for operators. */
  get load (): LoadSnapshot {
    return loadSnapshotOf(this.options.self.id, this.groups.all)
  }

  get hosts (): readonly PoolHost[] {
    return this.tableReplicator.hosts
  }

  /**
   * Fetches a newer configuration from the host that forwards a session, before the session is served.
   * Otherwise a host that is behind, for example while the store refuses its calls, may not know the session's database.
   */
  private async catchUpConfig (version: number, host: string): Promise<void> {
    if (version <= this.config.version) return
    const forwarder = this.hosts.find(({ id }) => id === host)
    if (forwarder === undefined) return
    const until = clock.now() + CATCH_UP_TIMEOUT_MS
    for (let left = CATCH_UP_TIMEOUT_MS; version > this.config.version && left > 0; left = until - clock.now()) await this.tableReplicator.consult(forwarder, left)
  }

  private async whenReady (ms: number): Promise<boolean> {
    if (!this.isReady) await this.startWaiters.wait(ms)
    return this.isReady
  }

  /** Wakes the callers that wait until the process is ready. */
  private wakeIfReady (): void {
    if (this.isReady) this.startWaiters.wake()
  }

  /** Announces to the other hosts that this one leaves; resolves after a time limit at the latest. */
  async leave (): Promise<void> {
    await this.tableReplicator.leave()
  }

  private startTimers (): void {
    const timer = setInterval(() => {
      this.listing.removeExpired()
      this.groups.tick()
      this.reporter?.tick()
    }, TICK_INTERVAL_MS)
    const issuerTimer = setInterval(() => {
      if (this.isReady && this.tableReplicator.isKnown && this.config.teams?.some(({ rate }) => rate !== undefined) === true) this.allowanceService?.tick()
    }, ISSUER_CHECK_INTERVAL_MS)
    this.signal.addEventListener('abort', () => {
      clearInterval(timer)
      clearInterval(issuerTimer)
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
      table: SHARED_TABLE,
      log,
      metrics,
      chance,
      signal: this.signal
    })
  }

  private heard (table: TableName, rows: readonly Row[], staleMs: number): void {
    switch (table) {
      case 'config': this.applyConfig(rows); break
      case 'endpoints': this.listing.applyRows(rows, staleMs); break
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

  private createReporter (transport: LoadTransport): LoadReporter {
    const { self, log, metrics } = this.options
    return LoadReporter.create({ self: self.id, incarnation: Date.now(), transport, groups: () => this.groups.all, group: id => this.groups.get(id), now: clock.now, age: clock.age, log, metrics })
  }
}
