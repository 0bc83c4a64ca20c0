/** Nodes on the line protocol with stand-ins for its store and its endpoints, in the process of a test. */

import { Log } from '../../src/shell/log/log.ts'
import type { PoolNode } from '../../src/shell/pool/node.ts'
import { freePorts } from '../ports.ts'
import { LineCaller } from './caller.ts'
import { LineEndpoint } from './endpoint.ts'
import { LineHost } from './host.ts'
import { RowServer } from './store.ts'

interface StageTeam {
  readonly name: string
  readonly keys: readonly string[]
  /** Operations a second, and at once; no limit without it. */
  readonly rate?: number
  readonly burst?: number
}

interface Options {
  /** Connections that an endpoint takes from all hosts. */
  readonly connections?: number
  /** The limit of a statement, in milliseconds. */
  readonly statementMs?: number
  readonly idleTransactionMs?: number
  /** Replicas that a commit waits for; none without it. */
  readonly syncReplicas?: number
  /** Hosts that serve, one when none is given. */
  readonly hosts?: number
  /** Starts before the store answers. */
  readonly isStoreDown?: boolean
  /** Whoever may call; nobody needs a key without it. */
  readonly teams?: readonly StageTeam[]
  /** Databases whose callers need no key. */
  readonly open?: readonly string[]
  readonly bounds?: Parameters<typeof LineHost.start>[4]
  /** Nothing is written without one. */
  readonly log?: Log
}

const SERVICE = 'svc'
const ENDPOINTS = 3

/** Three endpoints, the first of them primary, and the databases `strict` and `aged` over them. */
export class LineStage {
  private constructor (readonly store: RowServer, readonly endpoints: readonly LineEndpoint[], readonly hosts: LineHost[], private readonly storePort: number) {}

  /** Where its store listens. */
  get storeAddress () {
    return { ip: '127.0.0.1', port: this.storePort }
  }

  static async start (options: Options = {}): Promise<LineStage> {
    const { hosts: count = 1, isStoreDown = false } = options
    const [storePort, ...ports] = await freePorts(1 + ENDPOINTS) as [number, ...number[]]
    const store = await RowServer.start(storePort)
    const endpoints = await Promise.all(ports.map(async (port, i) => await LineEndpoint.start({ id: `e${i}`, service: SERVICE, port, isPrimary: i === 0 })))
    for (const endpoint of endpoints) store.put('servers', endpoint.id, endpoint.entry())
    store.put('op', 'config', LineStage.config(1, options))
    store.faults.isDown = isStoreDown
    const hosts: LineHost[] = []
    for (let i = 1; i <= count; i++) hosts.push(await LineHost.start(`h${i}`, storePort, options.log ?? Log.silent, hosts.map(({ link }) => link), options.bounds))
    const stage = new LineStage(store, endpoints, hosts, storePort)
    if (!isStoreDown) await stage.until(() => hosts.every(({ node }) => node.isReady && node.hosts.length === count))
    return stage
  }

  /** The operator's document in a version. */
  static config (version: number, { connections = 16, statementMs = 5000, idleTransactionMs = 60_000, syncReplicas = 0, teams, open = [] }: Options = {}): string {
    const route = { prefix: '/', timeoutMs: statementMs, targetLatencyMs: 100, priority: 1, service: SERVICE, attempts: 2 }
    return JSON.stringify({
      version,
      routes: [
        { ...route, name: 'r1', host: 'strict', routeType: 'primary', public: open.includes('strict') },
        { ...route, name: 'r2', host: 'aged', routeType: 'read_your_writes', maxStalenessMs: 60_000, public: open.includes('aged') }
      ],
      services: [{ name: SERVICE, healthPath: '/health', maxConns: connections, protocol: 'h1', tls: false, syncReplicas }],
      ...(teams === undefined ? {} : { tenants: teams.map(({ name, keys, rate, burst }) => ({ name, apiKeys: keys, ratePerS: rate, burst })) }),
      limits: { txIdleMs: idleTransactionMs }
    })
  }

  get node (): PoolNode {
    return this.hosts[0]!.node
  }

  get primary (): LineEndpoint {
    return this.endpoints[0]!
  }

  /** A caller that is signed in at a host, the first when none is given. */
  async caller (database: string, host = 0, who?: string, crossing?: string): Promise<LineCaller> {
    const caller = LineCaller.open(this.hosts[host]!.port, database, { who, crossing })
    await caller.answer()
    return caller
  }

  /** A caller whose sign-in is not answered yet. */
  knock (database: string, who?: string): LineCaller {
    return LineCaller.open(this.hosts[0]!.port, database, { who })
  }

  /** Starts one more host; `seeds`: hosts that its settings name, all others when none are given. */
  async addHost (seeds = this.hosts.map(({ link }) => link)): Promise<LineHost> {
    const host = await LineHost.start(`h${this.hosts.length + 1}`, this.storePort, Log.silent, seeds)
    this.hosts.push(host)
    return host
  }

  async until (isTrue: () => boolean): Promise<void> {
    while (!isTrue()) await new Promise(resolve => setTimeout(resolve, LOOK_MS))
  }

  async stop (): Promise<void> {
    for (const host of this.hosts) host.stop()
    await Promise.all([this.store.stop(), ...this.endpoints.map(async endpoint => await endpoint.stop())])
  }
}

/** How often a condition is looked at. */
const LOOK_MS = 5
