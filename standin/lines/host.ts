/** One host of a stage: a node on the line protocol, in the process of a test. */

import { setMaxListeners } from 'node:events'
import { PlatformBlobs } from '../../platform/blobs.ts'
import { err } from 'neverthrow'
import { parsePoolConfig } from '../../platform/document.ts'
import { Front } from '../../platform/front.ts'
import { LineLink } from '../../platform/link.ts'
import { PlatformOrders } from '../../platform/orders.ts'
import { signIn } from '../../platform/signin.ts'
import { parseEndpoint } from '../../platform/server.ts'
import { PlatformStore } from '../../platform/store.ts'
import type { AllowanceBounds } from '../../src/core/allowance/bounds.ts'
import type { DataCentreId } from '../../src/core/id/datacentre.ts'
import type { HostId } from '../../src/core/id/host.ts'
import type { LinkId } from '../../src/core/pool/membership/linkid.ts'
import type { Log } from '../../src/shell/log/log.ts'
import { TokenPort } from '../../src/shell/pool/allowance/tokenport.ts'
import { LoadPort } from '../../src/shell/pool/load/loadport.ts'
import { Auditor } from '../../src/shell/pool/statements/auditor.ts'
import { PoolMetrics } from '../../src/shell/pool/metrics.ts'
import { PoolNode } from '../../src/shell/pool/node.ts'
import { freePorts } from '../ports.ts'
import { CuttableStore } from './cuttablestore.ts'

const IP = '127.0.0.1'
const CALL_MS = 1000
const INCARNATION = '0123456789ab'

interface Bounds {
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart?: boolean
  /** Milliseconds for which an endpoint serves after it announced that it leaves. */
  readonly drainMs?: number
  /** Milliseconds after which no host serves a key that was taken away. */
  readonly revokeMs?: number
  /** How exactly allowances are kept; there are none without it. */
  readonly allowances?: AllowanceBounds
  /** In cores; a host that tells it also tells its load. */
  readonly capacity?: number
}

export class LineHost {
  private constructor (readonly node: PoolNode, readonly port: number, readonly link: LinkId, private readonly store: CuttableStore, private readonly fronts: readonly Front[], private readonly stopped: AbortController, readonly auditor: Auditor, private readonly cut: Set<string>) {}

  /** `seeds`: hosts that its settings name. */
  static async start (id: string, storePort: number, log: Log, seeds: readonly LinkId[] = [], bounds: Bounds = {}): Promise<LineHost> {
    const [port, peerPort, linkPort] = await freePorts(3) as [number, number, number]
    const stopped = new AbortController()
    // Each loop and each call to the store that is under way listens: many listeners are no leak here.
    setMaxListeners(0, stopped.signal)
    const address = { ip: IP, port: storePort }
    const cut = new Set<string>()
    const store = CuttableStore.create(PlatformStore.create({ address, timeoutMs: CALL_MS }))
    const metrics = PoolMetrics.create()
    const blobs = PlatformBlobs.create({ address, timeoutMs: CALL_MS, signal: stopped.signal })
    const auditor = Auditor.start({ host: id as HostId, incarnation: INCARNATION, store: blobs, log, metrics }, stopped.signal)
    const node = PoolNode.start({
      auditor,
      self: { id: id as HostId, dataCentre: 'z1' as DataCentreId, address: { ip: IP, port: peerPort }, linkPort, capacity: bounds.capacity },
      seeds,
      isFirstStart: bounds.isFirstStart ?? false,
      applyMs: 2000,
      drainMs: bounds.drainMs ?? 8000,
      historyMs: 20_000,
      revokeMs: bounds.revokeMs,
      allowances: bounds.allowances === undefined ? undefined : { bounds: bounds.allowances, port: TokenPort.listen({ ip: IP, port: peerPort }, log, stopped.signal) },
      loadTransport: bounds.capacity === undefined ? undefined : LoadPort.listen({ ...LoadPort.reportAddress({ ip: IP, port: peerPort }), log, metrics, signal: stopped.signal }),
      log,
      metrics,
      chance: () => 0.5,
      platform: {
        store,
        orders: PlatformOrders.create({ address, timeoutMs: CALL_MS }),
        dialer: {
          dial: async (endpoint, team, timeoutMs) => cut.has(endpoint.id) ? err('unreachable') : await LineLink.dial(endpoint, team ?? id, timeoutMs),
          dialHost: async (host, database, version, key, timeoutMs) => await LineLink.dialHost(host, signIn.toHost({ database, host: id, version, key, isDetour: true }), timeoutMs)
        },
        config: { table: 'op', key: 'config', parse: parsePoolConfig },
        endpoints: { table: 'servers', parse: parseEndpoint }
      }
    }, stopped.signal)
    const fronts = [Front.create(node.context, { ip: IP, port }), Front.create(node.context, { ip: IP, port: peerPort }, true)]
    return new LineHost(node, port, `${IP}:${linkPort}` as LinkId, store, fronts, stopped, auditor, cut)
  }

  /** Leaves in order, within the time. */
  async leave (graceMs: number): Promise<void> {
    await Promise.all(this.fronts.map(async front => await front.leave(graceMs)))
  }

  /** From now on it opens no connection to the endpoint. */
  cutFrom (endpoint: string): void {
    this.cut.add(endpoint)
  }

  /** From now on the store answers this host nothing. */
  cutFromStore (): void {
    this.store.cut()
  }

  stop (): void {
    this.stopped.abort()
    for (const front of this.fronts) front.close()
  }
}
