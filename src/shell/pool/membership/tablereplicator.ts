/** Keeps what this process knows of the store's tables: carries out what its control decides. */

import { createServer } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { TableSync } from '../../../core/pool/membership/tablesync.ts'
import type { SyncAction } from '../../../core/pool/membership/syncaction.ts'
import type { SyncEvent } from '../../../core/pool/membership/syncevent.ts'
import type { LinkId } from '../../../core/pool/membership/linkid.ts'
import { linkOf } from '../../../core/pool/membership/linkof.ts'
import type { SyncTimings } from '../../../core/pool/membership/synctimings.ts'
import { registryRow } from '../../../core/pool/membership/registryrow.ts'
import type { Row } from '../../../core/pool/membership/row.ts'
import { ReplicatedTable } from '../../../core/pool/membership/replicatedtable.ts'
import type { TableName } from '../../../core/pool/membership/tablename.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import type { Log } from '../../log/log.ts'
import { clock } from '../clock.ts'
import type { PoolMetrics } from '../metrics.ts'
import { Waiters } from '../waiters.ts'
import { ConfigCopy } from './configcopy.ts'
import type { RowStore } from './rowstore.ts'
import { MessageLink } from './messagelink.ts'

interface Options {
  readonly self: PoolHost
  readonly pace: SyncTimings
  /** Where hosts that the settings name take links. */
  readonly seeds: readonly LinkId[]
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean
  readonly store: RowStore
  /** What the tables are called in the store. */
  readonly names: Readonly<Record<TableName, string>>
  /** Where the copy of the configuration lies. */
  readonly copyTable: string
  readonly log: Log
  readonly metrics: PoolMetrics
  readonly chance: () => number
  /** Rows changed, erased ones among them; `isFirst`: the table wasn't known before. */
  readonly onRows: (table: TableName, rows: readonly Row[], isFirst: boolean) => void
  /** The hosts that are alive changed. */
  readonly onHostsChange: () => void
  /** Once, when what is known is enough to serve. */
  readonly onReady: () => void
}

type Ask = Extract<SyncAction, { kind: 'ask' }>
type Write = Extract<SyncAction, { kind: 'write' }>

/** A fifth of the time after which a host counts as silent, with the shortest bounds that are known. */
const TICK_MS = 100
/** A host that leaves tells others, or writes to the store, within this time; the shortest grace that is known leaves 0.8 s for all that is done at the end. */
const LEAVE_MS = 300
const LEAVE_POLL_MS = 10
/** The copy is there within this time, on a link of 7 Mbit/s and beside a start's work; later the operator's row is read, which takes 0.4 s on such a link. */
const COPY_MS = 100

export class TableReplicator {
  private control: TableSync
  private readonly sources = new Map<LinkId, MessageLink>()
  private readonly followers = new Map<number, MessageLink>()
  private links = 0
  private readonly events: SyncEvent[] = []
  private isStepping = false
  private wasReady = false
  private readonly failing = new Set<TableName>()
  private why: Ask['why'] | 'others' = 'others'
  /** Those who wait for rows that another host has. */
  private readonly waiting = Waiters.create()

  private readonly configCopy: ConfigCopy

  private constructor (private readonly options: Options, private readonly signal: AbortSignal) {
    const { store, copyTable: table, metrics } = options
    this.configCopy = ConfigCopy.create({ store, table, metrics })
    const { self, pace, seeds, isFirstStart } = options
    const own = linkOf(self)
    // A host that starts anew contradicts what was said of its life before, whatever the time of day says by then.
    const entry = { ...self, incarnation: Date.now(), isLeaving: false }
    this.control = TableSync.create({ self: entry, pace, seeds: seeds.filter(seed => seed !== own), isSeed: seeds.includes(own), isFirstStart }, clock.now())
  }

  /** Runs until the signal. */
  static start (options: Options, signal: AbortSignal): TableReplicator {
    const tables = new TableReplicator(options, signal)
    tables.listen()
    const timer = setInterval(() => tables.step({ kind: 'tick' }), TICK_MS)
    signal.addEventListener('abort', () => {
      clearInterval(timer)
      for (const link of [...tables.sources.values(), ...tables.followers.values()]) link.close()
    })
    // At the first start of the whole system nobody has made a copy yet, and each host would ask for it.
    if (!options.isFirstStart) tables.configCopy.prefetch(signal)
    tables.step({ kind: 'tick' })
    return tables
  }

  /** This host among them, in the order of their ids. */
  get hosts (): readonly PoolHost[] {
    return this.control.hosts
  }

  /** Whether what is known is enough to serve; once it is, it stays so. */
  get isReady (): boolean {
    return this.wasReady
  }

  /** Whether every table is known. */
  get isKnown (): boolean {
    return this.control.hasAllTables
  }

  /** Milliseconds for which the table may have been another one in the store. */
  ageMs (table: TableName): number {
    return this.control.ageMs(table, clock.age())
  }

  /** Resolves once a host that has something newer has told of it, or after the time. */
  async consult (host: PoolHost, ms: number): Promise<void> {
    this.step({ kind: 'consult', link: linkOf(host) })
    await this.waiting.wait(ms)
  }

  /** Tells that this host leaves. */
  async leave (): Promise<void> {
    this.step({ kind: 'leave' })
    const until = clock.now() + LEAVE_MS
    while (this.control.isWriting && clock.now() < until) await pause(LEAVE_POLL_MS)
  }

  /** One after the other, since what an event brings about may be another event, and words must leave in their order. */
  private step (event: SyncEvent): void {
    if (this.signal.aborted) return
    this.events.push(event)
    if (this.isStepping) return
    this.isStepping = true
    for (let next = this.events.shift(); next !== undefined; next = this.events.shift()) {
      const stepped = this.control.step(next, this.options.chance(), clock.now(), clock.age())
      this.control = stepped.next
      for (const action of stepped.actions) this.act(action)
    }
    this.isStepping = false
    if (this.wasReady || !this.control.isReady(clock.now())) return
    this.wasReady = true
    this.options.onReady()
  }

  private act (action: SyncAction): void {
    const { log, onRows: onNews, onHostsChange: onHosts } = this.options
    switch (action.kind) {
      case 'news': {
        onNews(action.table, action.rows, action.isFirst)
        return this.waiting.wake()
      }
      case 'hosts': return onHosts()
      case 'ask': {
        this.ask(action)
        return
      }
      case 'write': {
        this.write(action)
        return
      }
      case 'copy': {
        this.configCopy.write(action, this.signal).then(isDone => this.step({ kind: 'copied', isDone }))
        return
      }
      case 'open': return this.open(action.link)
      case 'close': {
        if (action.why !== 'others') log.write('sourceLost', { link: action.link, why: action.why })
        this.sources.get(action.link)?.close()
        this.sources.delete(action.link)
        return
      }
      case 'say': return this.sources.get(action.link)?.send(action.message)
      case 'tell': return this.followers.get(action.link)?.send(action.message)
      case 'drop': {
        this.followers.get(action.link)?.close()
        this.followers.delete(action.link)
      }
    }
  }

  private async ask ({ table, after, waitMs, why }: Ask): Promise<void> {
    const { store, names, metrics, log } = this.options
    if (why !== this.why) log.write('storeAsked', { why, before: this.why })
    this.why = why
    const askedAt = clock.age()
    const copied = table === 'config' && after === undefined ? await this.readCopy() : undefined
    if (copied !== undefined) return this.step({ kind: 'answered', table, isWhole: true, sentAt: askedAt, ...copied })
    metrics.storeCalls.inc({ call: after === undefined ? 'read' : 'changes', table, why })
    const answer = after === undefined ? await store.read(names[table], this.signal) : await store.changes(names[table], after, waitMs, this.signal)
    this.recordOutcome(table, answer.isErr() && answer.error !== 'forgotten')
    if (answer.isOk()) return this.step({ kind: 'answered', table, isWhole: after === undefined, sentAt: askedAt, ...answer.value })
    this.step({ kind: answer.error === 'forgotten' ? 'forgotten' : 'failed', table })
  }

  /**
   * The configuration by its copy, and what changed since it was as new as it says; undefined when that can't be told, or not soon.
   *
   * Guard against a start that waits for the copy in an outage of this system's own tables: the operator's row is there meanwhile. It showed as
   * 0.75 s, the limit of a call, without service at each of seven hosts.
   */
  private async readCopy (): Promise<{ readonly rows: readonly Row[], readonly version: number, readonly storeMs: number } | undefined> {
    const { store, names, metrics } = this.options
    const copy = await Promise.race([this.configCopy.read(), pause(COPY_MS, undefined)])
    if (copy === undefined) return undefined
    metrics.storeCalls.inc({ call: 'changes', table: 'config', why: 'copy' })
    const changed = await store.changes(names.config, copy.version, 0, this.signal)
    if (changed.isErr()) return undefined
    const { next } = ReplicatedTable.empty.applySnapshot(copy.rows, copy.version).next.applyChanges(changed.value.rows, changed.value.version)
    return { rows: next.rows, version: changed.value.version, storeMs: changed.value.storeMs }
  }

  private recordOutcome (table: TableName, isFailed: boolean): void {
    const { log, metrics } = this.options
    if (isFailed) metrics.storeFailures.inc({ table })
    if (isFailed === this.failing.has(table)) return
    if (isFailed) this.failing.add(table)
    else this.failing.delete(table)
    log.write(isFailed ? 'storeFailed' : 'storeBack', { table })
  }

  private async write ({ value, deletedKeys: erased }: Write): Promise<void> {
    const { store, names, self, metrics } = this.options
    metrics.storeCalls.inc({ call: 'write', table: 'roll', why: 'roll' })
    const own = { table: names.roll, key: registryRow.keyOf(self.id), value }
    const written = await store.change([own, ...erased.map(key => ({ table: names.roll, key, value: undefined }))], this.signal)
    this.step({ kind: 'written', isDone: written.isOk() })
  }

  private open (link: LinkId): void {
    const opened = MessageLink.dial(link, {
      onOpen: () => this.step({ kind: 'opened', link }),
      onMessage: word => {
        if (word.kind === 'rows' || word.kind === 'beat' || word.kind === 'welcome') this.step({ kind: 'told', link, message: word })
      },
      onEnd: () => {
        this.sources.delete(link)
        this.options.log.write('sourceLost', { link, why: 'ended' })
        this.step({ kind: 'lost', link })
      }
    })
    this.sources.set(link, opened)
  }

  private listen (): void {
    const { address: { ip: host }, linkPort: port } = this.options.self
    const server = createServer(socket => {
      const link = ++this.links
      this.followers.set(link, MessageLink.of(socket, {
        onMessage: word => {
          if (word.kind === 'follow' || word.kind === 'alive') this.step({ kind: 'spoke', link, message: word })
        },
        onEnd: () => {
          this.followers.delete(link)
          this.step({ kind: 'left', link })
        }
      }))
    })
    server.listen({ port, host, signal: this.signal })
  }
}
