/** One process: follows the store, keeps its groups, and serves sessions. */

import type { GroupId } from '../../core/id/group.ts'
import type { PoolConfig } from '../../core/pool/config.ts'
import type { PoolHost } from '../../core/pool/placing/host.ts'
import { LineBudget } from '../../core/pool/statements/linebudget.ts'
import { MissedHosts } from '../../core/pool/placing/missedhosts.ts'
import { Ownership } from '../../core/pool/placing/ownership.ts'
import { SharedBudget } from '../../core/retry/budget.ts'
import type { Log } from '../log/log.ts'
import type { Auditor } from './statements/auditor.ts'
import { askPeers } from './membership/askpeers.ts'
import { clock } from './clock.ts'
import type { PoolContext } from './context.ts'
import { Configuration } from './membership/configuration.ts'
import { follow } from './membership/feed.ts'
import { PoolGroup } from './group.ts'
import { Listing } from './membership/listing.ts'
import { Membership } from './membership/membership.ts'
import type { PoolMetrics } from './metrics.ts'
import type { Knowledge } from './membership/knowledge.ts'
import type { Platform } from './platform.ts'
import { Successor } from './succession/successor.ts'
import type { Row } from './membership/row.ts'
import { Waiters } from './waiters.ts'

interface Options {
  readonly self: PoolHost
  /** Milliseconds within which a new configuration is to be in force. */
  readonly applyMs: number
  /** Milliseconds for which an endpoint serves after it said that it leaves. */
  readonly drainMs: number
  readonly platform: Platform
  readonly log: Log
  readonly metrics: PoolMetrics
  readonly chance: () => number
  /** Undefined when the operator wants no records. */
  readonly auditor?: Auditor | undefined
}

/** A question to the store is held open for this part of the time in which a version must be in force: a connection that goes silent is then found, and replaced, within it. */
const WAIT_SHARE = 0.7
/** The rows of leases and objections. They change rarely, and none of them is needed to serve, so a silent connection may be found late. */
const TABLE = 'agatepond'
const TABLE_WAIT_MS = 5000
/** How often each group's primary is looked at. */
const TICK_MS = 100

export class PoolNode {
  /** Where the rows that all hosts share lie. */
  static readonly table = TABLE
  readonly context: PoolContext
  private readonly groups = new Map<GroupId, PoolGroup>()
  private readonly ownerships = new Map<GroupId, Ownership>()
  private readonly successors = new Map<GroupId, Successor>()
  /** Rows of the shared table that came before the configuration named their group. */
  private readonly sharedRows = new Map<string, Row>()
  private readonly listing: Listing
  private readonly membership: Membership
  private readonly configuration: Configuration
  private isStoreThere = false
  /** Whether other hosts told it what it knows. */
  private isTaught = false
  private missed = MissedHosts.none
  /** Callers who came before the process was ready. */
  private readonly starting = Waiters.create()
  private readonly startedAt = clock.now()

  private constructor (private readonly options: Options, private readonly signal: AbortSignal) {
    const { log, metrics } = options
    this.context = {
      config: () => this.config,
      whenReady: async ms => await this.whenReady(ms),
      self: options.self.id,
      catchUp: async (version, host) => await this.catchUp(version, host),
      placesFor: database => this.placesFor(database),
      missedHost: id => { this.missed = this.missed.with(id, clock.now()) },
      dialHost: async (host, database, ms) => await options.platform.dialer.dialHost(host, database, this.config.version, ms),
      group: id => this.groups.get(id),
      budget: SharedBudget.create(clock.now()),
      lines: LineBudget.create(clock.now()),
      log,
      metrics,
      auditor: options.auditor
    }
    this.configuration = Configuration.create({ log, metrics, ...options.platform.config })
    this.listing = Listing.create({ log, parse: options.platform.endpoints.parse, onChange: () => this.spread() })
    this.membership = Membership.create({ self: options.self, store: options.platform.store, chance: options.chance, onChange: () => this.hostsChanged() })
  }

  /** Runs until the signal. */
  static start (options: Options, signal: AbortSignal): PoolNode {
    const node = new PoolNode(options, signal)
    node.follow()
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
   * wait for one (a second and a half with 88 hosts). What comes from other hosts while the store is away has no list of hosts, and is enough.
   */
  get isReady (): boolean {
    return this.configuration.isKnown && this.listing.isRead && (this.membership.isAsked || this.isTaught)
  }

  get hosts (): readonly PoolHost[] {
    return this.membership.hosts
  }

  /** What this process knows, for one that starts while the store is away. */
  get knowledge (): Knowledge {
    return { config: this.configuration.rows, endpoints: this.listing.rows }
  }

  /** Whether it was news. */
  private learn ({ config, endpoints }: Knowledge): boolean {
    if (config.length === 0) return false
    this.isTaught = true
    const { version } = this.config
    this.configured(config)
    if (!this.listing.isRead) this.listing.take(endpoints, true)
    return this.config.version > version
  }

  /**
   * Guard against a session that is passed on to a host with an older
   * configuration, as one that the store turns away: its database may be unknown there,
   * although the host that passes it on knows it. The version comes with the
   * session, and a host that is behind asks the other one first.
   */
  private async catchUp (version: number, host: string): Promise<void> {
    if (version <= this.config.version) return
    const passing = this.others.find(({ id }) => id === host)
    if (passing === undefined) return
    const [knowledge] = await this.options.platform.peers.ask([passing], this.signal)
    if (knowledge !== undefined) this.learn(knowledge)
  }

  private get others (): readonly PoolHost[] {
    return this.membership.hosts.filter(({ id }) => id !== this.options.self.id)
  }

  private async whenReady (ms: number): Promise<boolean> {
    if (!this.isReady) await this.starting.wait(ms)
    return this.isReady
  }

  /** Lets those in who came before the process was ready. */
  private letIn (): void {
    if (this.isReady) this.starting.wake()
  }

  /** Takes this host out of the list of hosts. */
  async leave (): Promise<void> {
    await this.membership.leave(this.signal)
  }

  private follow (): void {
    const { platform, log, metrics, chance, applyMs } = this.options
    const common = { metrics, store: platform.store, waitMs: Math.round(applyMs * WAIT_SHARE), log, chance }
    follow({ ...common, table: platform.config.table, onRows: rows => this.configured(rows), onAnswered: isAnswered => { this.isStoreThere = isAnswered } }, this.signal)
    follow({ ...common, table: platform.endpoints.table, onRows: (rows, isWhole) => this.listing.take(rows, isWhole) }, this.signal)
    follow({ ...common, waitMs: TABLE_WAIT_MS, table: TABLE, onRows: rows => this.shared(rows) }, this.signal)
    this.membership.run(this.signal)
    askPeers({
      peers: platform.peers,
      log,
      chance,
      isSettled: () => this.isReady && this.isStoreThere,
      hosts: () => this.others,
      learn: knowledge => this.learn(knowledge)
    }, this.signal)
    const timer = setInterval(() => {
      this.listing.forgetLapsed()
      for (const successor of this.successors.values()) successor.tick()
    }, TICK_MS)
    this.signal.addEventListener('abort', () => clearInterval(timer))
  }

  private configured (rows: readonly Row[]): void {
    if (!this.configuration.take(rows)) return
    this.regroup()
    this.letIn()
  }

  /** Tells the groups what the directory says now. */
  private spread (): void {
    for (const group of this.groups.values()) group.listed(this.listing.directory)
    this.letIn()
  }

  private shared (rows: readonly Row[]): void {
    for (const row of rows) {
      const [kind, name] = row.key.split('/')
      if (kind === 'lease' || kind === 'handover') this.sharedRows.set(row.key, row)
      const successor = this.successors.get(name as GroupId)
      if (kind === 'lease') successor?.leaseChanged(row)
      if (kind === 'objection') successor?.objectionMade(row)
      if (kind === 'handover') successor?.handoverAnnounced(row)
    }
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
      hosts: () => this.membership.hosts,
      isSynchronous: () => this.config.group(group.id)?.isSynchronous === true,
      signal: this.signal
    })
    const lease = this.sharedRows.get(`lease/${group.id}`)
    const handover = this.sharedRows.get(`handover/${group.id}`)
    if (lease !== undefined) successor.leaseChanged(lease)
    if (handover !== undefined) successor.handoverAnnounced(handover)
    return successor
  }

  private placesFor (database: string): readonly PoolHost[] {
    const route = this.config.route(database)
    const places = route === undefined ? [] : this.ownerships.get(route.group)?.placesFor(this.options.self) ?? []
    return this.missed.last(places, clock.now())
  }

  private hostsChanged (): void {
    this.resize()
    this.letIn()
  }

  private resize (): void {
    const { hosts } = this.membership
    const { self } = this.options
    this.ownerships.clear()
    for (const { id, connections } of this.config.groups) {
      const ownership = Ownership.of(id, hosts, connections)
      this.ownerships.set(id, ownership)
      const isOwner = ownership.isOwner(self.id)
      this.groups.get(id)?.resize({ connections: isOwner ? ownership.share : 1, isOwner, hasRoom: isOwner && ownership.hasRoom })
    }
  }
}
