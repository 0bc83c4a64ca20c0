/** A node on the line protocol with stand-ins for its store and its endpoints, in the process of a test. */

import { PlatformOrders } from '../../platform/orders.ts'
import { PlatformStore } from '../../platform/store.ts'
import { Front } from '../../platform/front.ts'
import { LineLink } from '../../platform/link.ts'
import { parseEndpoint } from '../../platform/server.ts'
import { parsePoolConfig } from '../../platform/document.ts'
import type { DataCentreId } from '../../src/core/id/datacentre.ts'
import type { HostId } from '../../src/core/id/host.ts'
import { Log } from '../../src/shell/log/log.ts'
import { PoolMetrics } from '../../src/shell/pool/metrics.ts'
import { PoolNode } from '../../src/shell/pool/node.ts'
import { freePorts } from '../ports.ts'
import { LineCaller } from './caller.ts'
import { LineEndpoint } from './endpoint.ts'
import { RowServer } from './store.ts'

interface Options {
  /** Connections that an endpoint takes from all hosts. */
  readonly connections?: number
  /** The limit of a statement, in milliseconds. */
  readonly statementMs?: number
  readonly idleTransactionMs?: number
  /** Starts before the store answers. */
  readonly isStoreDown?: boolean
  /** Nothing is written without one. */
  readonly log?: Log
}

const SERVICE = 'svc'
const CALL_MS = 1000

/** Three endpoints, the first of them primary, and the databases `strict` and `aged` over them. */
export class LineStage {
  private readonly stopped = new AbortController()
  readonly front: Front

  private constructor (readonly store: RowServer, readonly endpoints: readonly LineEndpoint[], readonly node: PoolNode, private readonly port: number) {
    this.front = Front.create(node.context, { ip: '127.0.0.1', port })
  }

  static async start (options: Options = {}): Promise<LineStage> {
    const [storePort, port, ...ports] = await freePorts(5) as [number, number, ...number[]]
    const store = await RowServer.start(storePort)
    const endpoints = await Promise.all(ports.map(async (one, i) => await LineEndpoint.start({ id: `e${i}`, service: SERVICE, port: one, isPrimary: i === 0 })))
    for (const endpoint of endpoints) store.put('servers', endpoint.id, endpoint.entry())
    store.put('op', 'config', LineStage.config(1, options))
    store.faults.isDown = options.isStoreDown
    const stopped = new AbortController()
    const { log = Log.silent } = options
    const address = { ip: '127.0.0.1', port: storePort }
    const node = PoolNode.start({
      host: 'h1' as HostId,
      dataCentre: 'z1' as DataCentreId,
      applyMs: 2000,
      log,
      metrics: PoolMetrics.create(),
      chance: () => 0.5,
      platform: {
        store: PlatformStore.create({ address, timeoutMs: CALL_MS }),
        orders: PlatformOrders.create({ address, timeoutMs: CALL_MS }),
        dialer: { dial: async (endpoint, timeoutMs) => await LineLink.dial(endpoint, 'h1', timeoutMs) },
        config: { table: 'op', key: 'config', parse: parsePoolConfig },
        endpoints: { table: 'servers', parse: parseEndpoint }
      }
    }, stopped.signal)
    const stage = new LineStage(store, endpoints, node, port)
    stage.stopped.signal.addEventListener('abort', () => stopped.abort())
    if (options.isStoreDown !== true) await stage.until(() => node.isReady)
    return stage
  }

  /** The operator's document in a version. */
  static config (version: number, { connections = 16, statementMs = 5000, idleTransactionMs = 60_000 }: Options = {}): string {
    const route = { prefix: '/', timeoutMs: statementMs, targetLatencyMs: 100, priority: 1, service: SERVICE, attempts: 2 }
    return JSON.stringify({
      version,
      routes: [
        { ...route, name: 'r1', host: 'strict', routeType: 'primary' },
        { ...route, name: 'r2', host: 'aged', routeType: 'read_your_writes', maxStalenessMs: 60_000 }
      ],
      services: [{ name: SERVICE, healthPath: '/health', maxConns: connections, protocol: 'h1', tls: false, syncReplicas: 0 }],
      limits: { txIdleMs: idleTransactionMs }
    })
  }

  get primary (): LineEndpoint {
    return this.endpoints[0]!
  }

  /** A caller that is signed in. */
  async caller (database: string): Promise<LineCaller> {
    const caller = LineCaller.open(this.port, database)
    await caller.answer()
    return caller
  }

  /** A caller whose sign-in is not answered yet. */
  knock (database: string): LineCaller {
    return LineCaller.open(this.port, database)
  }

  async until (isTrue: () => boolean): Promise<void> {
    while (!isTrue()) await new Promise(resolve => setTimeout(resolve, LOOK_MS))
  }

  async stop (): Promise<void> {
    this.stopped.abort()
    this.front.close()
    await Promise.all([this.store.stop(), ...this.endpoints.map(async endpoint => await endpoint.stop())])
  }
}

/** How often a condition is looked at. */
const LOOK_MS = 5
