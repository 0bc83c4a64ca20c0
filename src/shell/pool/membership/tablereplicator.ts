/** Keeps the store's tables up to date in this process: performs the actions that `TableSync` decides on. */

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
  /** Link addresses of the seed hosts in the settings. */
  readonly seeds: readonly LinkId[]
  /** Whether the whole system starts for the first time, with empty tables. */
  readonly isFirstStart: boolean
  readonly store: RowStore
  /** Names of the tables in the store. */
  readonly names: Readonly<Record<TableName, string>>
  /** Name of the table with the copy of the configuration. */
  readonly copyTable: string
  readonly log: Log
  readonly metrics: PoolMetrics
  readonly chance: () => number
  /** Called with changed rows, including erased ones. `staleMs`: milliseconds for which the store may have had them; infinite if unknown. */
  readonly onRows: (table: TableName, rows: readonly Row[], staleMs: number) => void
  /** Called when the list of live hosts changed. */
  readonly onHostsChange: () => void
  /** Called once, when enough is known to serve. */
  readonly onReady: () => void
}

type AskAction = Extract<SyncAction, { kind: 'ask' }>
type WriteAction = Extract<SyncAction, { kind: 'write' }>

/** A fifth of the shortest time after which a host counts as silent. */
const TICK_INTERVAL_MS = 100
/** Longest time to announce that this host leaves; the shortest grace period leaves 0.8 s for the whole shutdown. */
const LEAVE_TIMEOUT_MS = 300
const LEAVE_POLL_INTERVAL_MS = 10
/** Longest wait for the copy of the configuration before the configuration itself is read. A copy arrives within it also on a link of 7 Mbit/s. */
const COPY_TIMEOUT_MS = 100

export class TableReplicator {
  private control: TableSync
  private readonly sources = new Map<LinkId, MessageLink>()
  private readonly followers = new Map<number, MessageLink>()
  private links = 0
  private readonly events: SyncEvent[] = []
  private isStepping = false
  private wasReady = false
  private readonly failing = new Set<TableName>()
  private why: AskAction['why'] | 'others' = 'others'
  /** Wakes calls that wait for newer rows from another host. */
  private readonly waiting = Waiters.create()

  private readonly configCopy: ConfigCopy

  private constructor (private readonly options: Options, private readonly signal: AbortSignal) {
    const { store, copyTable: table, metrics } = options
    this.configCopy = ConfigCopy.create({ store, table, metrics })
    const { self, pace, seeds, isFirstStart } = options
    const own = linkOf(self)
    // A restarted host must override the entry of its earlier incarnation. A higher number is chosen if the clock was set back.
    const entry = { ...self, incarnation: Date.now(), isLeaving: false }
    this.control = TableSync.create({ self: entry, pace, seeds: seeds.filter(seed => seed !== own), isSeed: seeds.includes(own), isFirstStart }, clock.now())
  }

  /** Runs until the signal. */
  static start (options: Options, signal: AbortSignal): TableReplicator {
    const replicator = new TableReplicator(options, signal)
    replicator.listen()
    const timer = setInterval(() => replicator.step({ kind: 'tick' }), TICK_INTERVAL_MS)
    signal.addEventListener('abort', () => {
      clearInterval(timer)
      for (const link of [...replicator.sources.values(), ...replicator.followers.values()]) link.close()
    })
    // At the first start of the whole system there is no copy yet.
    if (!options.isFirstStart) replicator.configCopy.prefetch(signal)
    replicator.step({ kind: 'tick' })
    return replicator
  }

  /** The live hosts, including this one, ordered by id. */
  get hosts (): readonly PoolHost[] {
    return this.control.hosts
  }

  /** Whether enough is known to serve. Stays true once it is. */
  get isReady (): boolean {
    return this.wasReady
  }

  /** Whether all tables are known. */
  get isKnown (): boolean {
    return this.control.hasAllTables
  }

  /** The staleness of the table: milliseconds for which the store may have had a newer one. */
  ageMs (table: TableName): number {
    return this.control.ageMs(table, clock.age())
  }

  /** Asks a host for newer rows; resolves when some arrive, or after `ms`. */
  async consult (host: PoolHost, ms: number): Promise<void> {
    this.step({ kind: 'consult', link: linkOf(host) })
    await this.waiting.wait(ms)
  }

  /** Announces that this host leaves. */
  async leave (): Promise<void> {
    this.step({ kind: 'leave' })
    const until = clock.now() + LEAVE_TIMEOUT_MS
    while (this.control.isWriting && clock.now() < until) await pause(LEAVE_POLL_INTERVAL_MS)
  }

  /** Handles events one at a time, since an action may cause another event, and messages must be sent in order. */
  private step (event: SyncEvent): void {
    if (this.signal.aborted) return
    this.events.push(event)
    if (this.isStepping) return
    this.isStepping = true
    for (let next = this.events.shift(); next !== undefined; next = this.events.shift()) {
      const before = this.control
      const stepped = before.step(next, this.options.chance(), clock.now(), clock.age())
      this.control = stepped.next
      for (const action of stepped.actions) this.act(action, before)
    }
    this.isStepping = false
    if (this.wasReady || !this.control.isReady(clock.now())) return
    this.wasReady = true
    this.options.onReady()
  }

  /** `before`: the state in which the rows of a change weren't known. */
  private act (action: SyncAction, before: TableSync): void {
    const { log, onRows, onHostsChange } = this.options
    switch (action.kind) {
      case 'news': {
        onRows(action.table, action.rows, before.ageMs(action.table, clock.age()))
        return this.waiting.wake()
      }
      case 'hosts': return onHostsChange()
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

  private async ask ({ table, after, waitMs, why }: AskAction): Promise<void> {
    const { store, names, metrics, log } = this.options
    if (why !== this.why) log.write('storeAsked', { why, before: this.why })
    this.why = why
    const sentAt = clock.age()
    const copied = table === 'config' && after === undefined ? await this.readCopy() : undefined
    if (copied !== undefined) return this.step({ kind: 'answered', table, isWhole: true, sentAt, ...copied })
    metrics.storeCalls.inc({ call: after === undefined ? 'read' : 'changes', table, why })
    const answer = after === undefined ? await store.read(names[table], this.signal) : await store.changes(names[table], after, waitMs, this.signal)
    this.recordOutcome(table, answer.isErr() && answer.error !== 'forgotten')
    if (answer.isOk()) return this.step({ kind: 'answered', table, isWhole: after === undefined, sentAt, ...answer.value })
    this.step({ kind: answer.error === 'forgotten' ? 'forgotten' : 'failed', table })
  }

  /**
   * The configuration from its copy and the changes since then; undefined if the copy is invalid or doesn't arrive in time.
   * The time limit matters in an outage of the proxy's own tables, during which the operator's table can still be read: without it a
   * start waited for the timeout of a call, 0.75 s.
   */
  private async readCopy (): Promise<{ readonly rows: readonly Row[], readonly version: number, readonly storeMs: number } | undefined> {
    const { store, names, metrics } = this.options
    const copy = await Promise.race([this.configCopy.read(), pause(COPY_TIMEOUT_MS, undefined)])
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

  private async write ({ value, deletedKeys }: WriteAction): Promise<void> {
    const { store, names, self, metrics } = this.options
    metrics.storeCalls.inc({ call: 'write', table: 'roll', why: 'roll' })
    const own = { table: names.roll, key: registryRow.keyOf(self.id), value }
    const written = await store.change([own, ...deletedKeys.map(key => ({ table: names.roll, key, value: undefined }))], this.signal)
    this.step({ kind: 'written', isDone: written.isOk() })
  }

  private open (link: LinkId): void {
    const opened = MessageLink.dial(link, {
      onOpen: () => this.step({ kind: 'opened', link }),
      onMessage: message => {
        if (message.kind === 'rows' || message.kind === 'beat' || message.kind === 'welcome') this.step({ kind: 'told', link, message })
      },
      onPart: () => this.step({ kind: 'partTold', link }),
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
        onMessage: message => {
          if (message.kind === 'follow' || message.kind === 'alive' || message.kind === 'confirm') this.step({ kind: 'spoke', link, message })
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
