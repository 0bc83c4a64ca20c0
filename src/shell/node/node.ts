/** One agatepond process: puts its parts together and keeps them running until its signal is aborted. */

import { randomUUID } from 'node:crypto'
import { createServer } from 'node:http'
import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { ConfirmedSchema, type Frame, type StatusReplySchema } from '../../gen/peer_pb.ts'
import type { Config } from '../../core/config/config.ts'
import type { DataCentreId } from '../../core/id/datacentre.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { HostId } from '../../core/id/host.ts'
import type { Instant } from '../../core/id/instant.ts'
import { SharedBudget } from '../../core/retry/budget.ts'
import { Sessions } from '../../core/session/sessions.ts'
import type { parseSettings } from '../../core/settings/settings.ts'
import type { Audit } from '../audit/audit.ts'
import { openAudit } from '../audit/open.ts'
import type { CallerContext } from '../caller/context.ts'
import { acceptCaller } from '../caller/frontend.ts'
import { Groups } from '../caller/groups.ts'
import { Reads } from '../caller/reads.ts'
import { ConfigFollower } from '../config/follower.ts'
import { ConfigStore } from '../config/store.ts'
import { Log } from '../log/log.ts'
import { Metrics } from '../metrics/metrics.ts'
import { MysqlServer } from '../mysql/server.ts'
import { refusal } from '../peer/answer.ts'
import type { SlotPort } from '../peer/port.ts'
import { PeerServer } from '../peer/server.ts'
import { DynamoTable } from '../platform/dynamotable.ts'
import type { HostList } from '../platform/hostlist.ts'
import { HttpHostList } from '../platform/httphostlist.ts'
import { S3Store } from '../platform/s3store.ts'
import { Slots } from './slots.ts'

type Settings = ReturnType<ReturnType<typeof parseSettings>['_unsafeUnwrap']>

const POLL_MS = 500
const UINT32 = 0x100000000

/** The process. `start` resolves when it listens. */
export class Node {
  private configs: ConfigFollower | undefined
  private peers: PeerServer | undefined

  private constructor (
    private readonly slots: Slots,
    private readonly log: Log,
    private readonly metrics: Metrics,
    readonly audit: Audit
  ) {}

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
    const slots = Slots.create({
      settings,
      incarnation,
      groups,
      table,
      log,
      metrics,
      now,
      chance,
      broadcast: frame => it.peers?.broadcast({ case: 'sample', value: frame }),
      broadcastWrite: frame => it.peers?.broadcast({ case: 'wrote', value: frame }),
      onLinked: peer => it.configs?.linked(peer),
      onConfig: (from, body) => it.configs?.take(from, body, reply => slots.tell(from, reply))
    })
    const audit = openAudit({ settings, incarnation, log, metrics, now, configVersion: () => it.configs?.config?.version })
    const it: Node = new Node(slots, log, metrics, audit)
    it.peers = await PeerServer.listen({
      ...addressOf(settings.listen.peers),
      host: host.id as HostId,
      incarnation,
      beatMs: settings.peers.beat,
      silentMs: settings.peers.silent,
      slots: it.ownSlots(),
      greeting: () => [] as Frame['body'][],
      onConfig: (from, body, reply) => it.configs?.take(from, body, reply),
      status: () => it.status(host.id, incarnation)
    }, signal)
    it.configs = ConfigFollower.start({
      self: host.id as HostId,
      store: ConfigStore.of(table, objects),
      log,
      now,
      chance,
      tell: (peer, body) => slots.tell(peer, body),
      onApply: config => it.apply(config)
    }, signal)
    const context: CallerContext = {
      host: host.id as HostId,
      config: () => it.configs?.config,
      groups,
      sessions: Sessions.create(settings.requests.sessions),
      port: endpoint => slots.port(endpoint),
      dataCentre: host.dataCentre as DataCentreId,
      chance,
      deadlineMs: settings.requests.deadline,
      retryBudget: SharedBudget.create(now()),
      now,
      metrics,
      audit: it.audit
    }
    const reads = Reads.create(context)
    const callers = addressOf(settings.listen.callers)
    await MysqlServer.listen({
      host: callers.ip,
      port: callers.port,
      tracksSession: false,
      accept: async login => await acceptCaller(context, reads, login)
    }, signal)
    await it.serveMetrics(addressOf(settings.listen.metrics), signal)
    it.pollHosts(hostList, signal)
    log.write('started', { callers: settings.listen.callers, peers: settings.listen.peers })
    return it
  }

  /** What this process's peers may ask of it: its own slots only, never a further hop. */
  private ownSlots (): SlotPort {
    return {
      run: (req, sink) => {
        const owner = this.slots.owner(req.endpoint as EndpointId)
        if (owner !== undefined) return owner.run(req, sink)
        sink.done(refusal(req.id, 'noSlotOwner'))
        return { credit: () => undefined, cancel: () => undefined }
      },
      confirm: async (endpoint, term, position, ms) =>
        await this.slots.owner(endpoint)?.confirm(term, position, ms) ?? create(ConfirmedSchema, { ok: false }),
      release: transaction => this.slots.release(transaction)
    }
  }

  private async pollHosts (list: HostList, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await list.hosts().then(
        hosts => {
          this.slots.useHosts(hosts)
          this.configs?.useHosts(hosts)
        },
        (err: Error) => this.log.write('hostListFailed', { err: err.message }))
      await pause(POLL_MS)
    }
  }

  private apply (config: Config): void {
    this.slots.useConfig(config)
    this.metrics.configVersion.set(config.version)
  }

  /** Why this process takes no callers; undefined when it does. */
  private get problem (): string | undefined {
    return this.configs === undefined ? 'starting' : this.configs.problem
  }

  private status (host: string, incarnation: string): MessageInitShape<typeof StatusReplySchema> {
    const { problem, configs } = this
    return {
      host,
      incarnation,
      version: configs?.config?.version ?? 0,
      ready: problem === undefined,
      reason: problem ?? '',
      waiting: [...configs?.waiting ?? []]
    }
  }

  /** Resolves when it listens, so that whoever reads that the process started can ask whether it's ready. */
  private async serveMetrics ({ ip, port }: { readonly ip: string, readonly port: number }, signal: AbortSignal): Promise<void> {
    const server = createServer((req, res) => {
      if (req.url === '/health') {
        res.end('ok\n')
        return
      }
      if (req.url === '/ready') {
        const { problem } = this
        res.writeHead(problem === undefined ? 200 : 503).end(`${problem ?? 'ready'}\n`)
        return
      }
      this.metrics.registry.metrics().then(text => res.end(text))
    })
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(port, ip, resolve)
    })
    signal.addEventListener('abort', () => server.close(), { once: true })
  }
}

function addressOf (text: string): { readonly ip: string, readonly port: number } {
  const [ip, port] = text.split(':')
  return { ip: ip!, port: Number(port) }
}

/** The one generator for chance, seeded so that no two processes draw the same numbers. */
function seededChance (seed: string): () => number {
  const generator = xoroshiro128plus(parseInt(seed.slice(0, 8), 16))
  return () => (generator.next() >>> 0) / UINT32
}

async function pause (ms: number): Promise<void> {
  await new Promise(resolve => { setTimeout(resolve, ms) })
}
