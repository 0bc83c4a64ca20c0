/** One agatepond process: connects its components and runs them until its signal is aborted. */

import { randomUUID } from 'node:crypto'
import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { ConfirmedSchema, type Frame, type StatusReplySchema } from '../../gen/peer_pb.ts'
import type { Config } from '../../core/config/config.ts'
import type { DataCentreId } from '../../core/id/datacentre.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { HostId } from '../../core/id/host.ts'
import type { Instant } from '../../core/id/instant.ts'
import { SharedRetryBudget } from '../../core/retry/sharedretrybudget.ts'
import { SessionTable } from '../../core/session/sessiontable.ts'
import type { parseSettings } from '../../core/settings/settings.ts'
import type { Audit } from '../audit/audit.ts'
import { openAudit } from '../audit/open.ts'
import type { CallerContext } from '../caller/context.ts'
import { acceptCaller } from '../caller/frontend.ts'
import { Groups } from '../caller/groups.ts'
import { SessionReadRouter } from '../caller/sessionreadrouter.ts'
import { ConfigFollower } from '../config/follower.ts'
import { ConfigStore } from '../config/store.ts'
import { Log } from '../log/log.ts'
import { Metrics } from '../metrics/metrics.ts'
import type { CommandHandler } from '../mysql/commandhandler.ts'
import type { Login } from '../mysql/login.ts'
import { MysqlServer } from '../mysql/server.ts'
import { refusal } from '../peer/refusal.ts'
import type { SlotPort } from '../peer/slotport.ts'
import { TlsKeys } from '../peer/tlskeys.ts'
import { PeerServer } from '../peer/server.ts'
import { DynamoTable } from '../platform/dynamotable.ts'
import type { HostList } from '../platform/hostlist.ts'
import { HttpHostList } from '../platform/httphostlist.ts'
import { S3Store } from '../platform/s3store.ts'
import { CallerConnections } from './callerconnections.ts'
import { KnownPrimaries } from './knownprimaries.ts'
import { servePages } from './pages.ts'
import { seededChance } from './seededchance.ts'
import { Slots } from './slots.ts'

type Settings = ReturnType<ReturnType<typeof parseSettings>['_unsafeUnwrap']>

const HOST_LIST_POLL_MS = 500
const LEAVING = { code: 1053, message: 'this proxy is leaving; connect to another' }

/** A running process. */
export class Node {
  private configs: ConfigFollower | undefined
  private peers: PeerServer | undefined
  private mysql: MysqlServer | undefined
  private hasHostList = false
  private isLeaving = false
  /** Aborted when new callers are refused. */
  private readonly refusal = new AbortController()
  /** Logins that have no answer yet. */
  private readonly logins = new Set<Promise<unknown>>()

  private constructor (
    private readonly settings: Settings,
    private readonly knownPrimaries: KnownPrimaries,
    private readonly slots: Slots,
    private readonly callers: CallerConnections,
    private readonly log: Log,
    private readonly metrics: Metrics,
    readonly audit: Audit
  ) {}

  /** Starts the process. Resolves when it listens; rejects if a listening socket can't be opened. */
  static async start (settings: Settings, signal: AbortSignal): Promise<Node> {
    const { platform, host } = settings
    const log = Log.create(host.id)
    const metrics = Metrics.create()
    const groups = Groups.create()
    const incarnation = randomUUID()
    const now = (): Instant => performance.now() as Instant
    const chance = seededChance(incarnation)
    const table = DynamoTable.open({ url: platform.tableService, table: platform.table, region: platform.region, timeoutMs: platform.timeout }, signal)
    const objects = S3Store.open({ url: platform.objectStore, bucket: platform.bucket, region: platform.region, timeoutMs: platform.timeout }, signal)
    const hostList = HttpHostList.of(platform.hostList, platform.timeout)
    const keys = settings.peers.tls && TlsKeys.read(settings.peers.tls)
    if (keys === undefined) log.write('peersInClear')
    keys?.watch(log, signal)
    const slots = Slots.create({
      settings,
      keys,
      incarnation,
      groups,
      table,
      log,
      metrics,
      now,
      chance,
      broadcast: body => node.peers?.broadcast(body),
      onLinked: peer => node.configs?.onLinked(peer),
      onConfig: (from, body) => node.configs?.receive(from, body, reply => slots.peers.send(from, reply))
    }, signal)
    const { transactions, callers: callersMs, idle, pause: pauseMs } = settings.drain
    const callers = CallerConnections.create({
      timings: { transactionsMs: transactions, callersMs, idleMs: idle, pauseMs },
      now,
      onCount: open => metrics.callers.set(open)
    })
    const audit = openAudit({ settings, incarnation, log, metrics, now, configVersion: () => node.configs?.config?.version })
    const node: Node = new Node(settings, KnownPrimaries.of(groups), slots, callers, log, metrics, audit)
    node.peers = await PeerServer.listen({
      ...parseAddress(settings.listen.peers),
      host: host.id as HostId,
      incarnation,
      heartbeatIntervalMs: settings.peers.beat,
      silenceTimeoutMs: settings.peers.silent,
      slots: node.ownSlotPort(),
      keys,
      log,
      initialFrames: (): Frame['body'][] => [{ case: 'held', value: slots.heldFrame() }],
      onConfig: (from, body, reply) => node.configs?.receive(from, body, reply),
      status: () => node.status(host.id, incarnation)
    }, signal)
    node.configs = ConfigFollower.start({
      self: host.id as HostId,
      store: ConfigStore.of(table, objects),
      log,
      now,
      chance,
      send: (peer, body) => slots.peers.send(peer, body),
      onApply: config => node.apply(config)
    }, signal)
    const context: CallerContext = {
      host: host.id as HostId,
      config: () => node.configs?.config,
      groups,
      sessions: SessionTable.create(settings.requests.sessions),
      port: endpoint => slots.port(endpoint),
      dataCentre: host.dataCentre as DataCentreId,
      chance,
      deadlineMs: settings.requests.deadline,
      retryBudget: SharedRetryBudget.create(now()),
      now,
      metrics,
      audit: node.audit
    }
    const reads = SessionReadRouter.create(context)
    const { ip, port } = parseAddress(settings.listen.callers)
    node.mysql = await MysqlServer.listen({
      host: ip,
      port,
      tracksSession: false,
      accept: async login => {
        const answer = node.accept(login, async () => await acceptCaller(context, reads, login))
        node.logins.add(answer)
        return await answer.finally(() => node.logins.delete(answer))
      }
    }, signal)
    await servePages({ ...parseAddress(settings.listen.metrics), metrics, problem: () => node.problem }, signal)
    node.pollHosts(hostList, signal)
    log.write('started', { callers: settings.listen.callers, peers: settings.listen.peers })
    return node
  }

  /**
   * Drains the process and resolves when no request is in progress any more.
   * The listening socket stays open for the announcement time, until load
   * balancers have seen that this process isn't ready.
   */
  async drain (): Promise<void> {
    this.isLeaving = true
    this.log.write('leaving', {})
    this.slots.leave()
    const gone = this.callers.drain()
    await pause(this.settings.drain.announce)
    this.refusal.abort()
    this.mysql?.close()
    await Promise.allSettled(this.logins)
    await gone
    await this.callers.drain()
    await this.slots.left()
    await this.peers?.finish(this.settings.peers.silent)
    this.log.write('stopped')
  }

  private async accept (login: Login, authenticate: () => ReturnType<typeof acceptCaller>): ReturnType<typeof acceptCaller> {
    if (this.refusal.signal.aborted) return LEAVING
    const handler = await authenticate()
    return 'code' in handler ? handler : await this.wrapHandler(handler, login)
  }

  /**
   * Marks the groups of the caller's pools as used while the caller is
   * connected. Links to the owners of their slots may be opened only now, so
   * the login waits until the primaries are known; otherwise the first request
   * would be refused.
   */
  private async wrapHandler (handler: CommandHandler, login: Login): ReturnType<typeof acceptCaller> {
    const closed = new AbortController()
    const pools = this.configs?.config?.pools.filter(pool => pool.callers.some(caller => caller.id === login.user)) ?? []
    const ids = pools.flatMap(pool => pool.groups)
    this.slots.useGroups(ids, closed.signal)
    await this.knownPrimaries.wait(ids, this.settings.requests.deadline, this.refusal.signal)
    if (this.refusal.signal.aborted) {
      closed.abort()
      handler.closed()
      return LEAVING
    }
    return this.callers.wrap(handler, login, () => closed.abort())
  }

  /** The port that peers use: it reaches this process's own slots only, so that no request takes more than one hop. */
  private ownSlotPort (): SlotPort {
    return {
      run: (req, sink) => {
        const slot = this.slots.own(req.endpoint as EndpointId)
        if (slot !== undefined) return slot.run(req, sink)
        sink.done(refusal(req.id, 'noSlotOwner'))
        return { credit: () => undefined, cancel: () => undefined }
      },
      confirm: async (endpoint, term, position, ms) =>
        await this.slots.own(endpoint)?.confirm(endpoint, term, position, ms) ?? create(ConfirmedSchema, { ok: false }),
      release: transaction => this.slots.release(transaction)
    }
  }

  private async pollHosts (list: HostList, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await list.hosts().then(
        hosts => {
          this.hasHostList = true
          this.slots.useHosts(hosts)
          this.configs?.setHosts(hosts)
          this.slots.keepLinks(this.configs?.partners ?? [])
        },
        (err: Error) => this.log.write('hostListFailed', { err: err.message }))
      await pause(HOST_LIST_POLL_MS)
    }
  }

  private apply (config: Config): void {
    this.slots.useConfig(config)
    this.metrics.configVersion.set(config.version)
  }

  /** Why this process isn't ready for callers; undefined if it is. */
  private get problem (): string | undefined {
    if (this.isLeaving) return 'leaving'
    if (this.configs === undefined) return 'starting'
    return this.configs.problem ?? (this.hasHostList ? undefined : 'no host list yet: it does not answer')
  }

  private status (host: string, incarnation: string): MessageInitShape<typeof StatusReplySchema> {
    const { problem, configs } = this
    return {
      host,
      incarnation,
      version: configs?.config?.version ?? 0,
      ready: problem === undefined,
      reason: problem ?? '',
      waiting: [...configs?.waiting ?? [], ...this.slots.waiting]
    }
  }
}

function parseAddress (text: string): { readonly ip: string, readonly port: number } {
  const [ip, port] = text.split(':')
  return { ip: ip!, port: Number(port) }
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}
