/** A source of the store's rows that sends slowly, over sockets. */

import { createServer, type Server, type Socket } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { err, type Err } from 'neverthrow'
import { afterEach, beforeEach, expect, it } from 'vitest'
import { freePorts } from '../../../../standin/ports.ts'
import type { DataCentreId } from '../../../core/id/datacentre.ts'
import type { HostId } from '../../../core/id/host.ts'
import type { LinkId } from '../../../core/pool/membership/linkid.ts'
import { SyncTimings } from '../../../core/pool/membership/synctimings.ts'
import { Log } from '../../log/log.ts'
import { PoolMetrics } from '../metrics.ts'
import { messageCodec } from './messagecodec.ts'
import type { RowStore } from './rowstore.ts'
import { TableReplicator } from './tablereplicator.ts'

const IP = '127.0.0.1'
/** A silence timeout of a second. */
const PACE = SyncTimings.of({ applyMs: 6000, drainMs: 8000, historyMs: 20_000 })
const PARTS = 30
/** A message takes three silence timeouts. */
const PART_MS = 3 * PACE.silenceTimeoutMs / PARTS
const NEVER: RowStore = {
  read: async (_, signal) => await untilEnd(signal),
  changes: async (_table, _after, _ms, signal) => await untilEnd(signal),
  change: async () => err('unavailable')
}
let source: Server
let stopped: AbortController
/** Resolves with the configuration, or with why its source was left. */
let ended: Promise<string | undefined>

async function untilEnd (signal: AbortSignal): Promise<Err<never, 'unavailable'>> {
  return await new Promise(resolve => { signal.addEventListener('abort', () => resolve(err('unavailable'))) })
}

beforeEach(async () => {
  const [sourcePort, linkPort, port] = await freePorts(3) as [number, number, number]
  stopped = new AbortController()
  source = createServer(socket => {
    socket.on('error', () => socket.destroy())
    socket.once('data', () => { sendSlowly(socket) })
  }).listen(sourcePort, IP)
  ended = new Promise(resolve => TableReplicator.start({
    self: { id: 'h1' as HostId, dataCentre: 'z1' as DataCentreId, address: { ip: IP, port }, linkPort },
    pace: PACE,
    seeds: [`${IP}:${sourcePort}` as LinkId],
    isFirstStart: true,
    store: NEVER,
    names: { config: 'config', endpoints: 'endpoints', shared: 'shared', roll: 'roll' },
    copyTable: 'copies',
    log: Log.to(line => { if (line.includes('"event":4009')) resolve(line) }),
    metrics: PoolMetrics.create(),
    chance: () => 0.5,
    onRows: (table, rows) => { if (table === 'config') resolve(rows[0]?.value) },
    onHostsChange: () => 'nobody waits for it here',
    onReady: () => 'nobody waits for it here'
  }, stopped.signal))
})

afterEach(() => {
  stopped.abort()
  source.close()
})

async function sendSlowly (socket: Socket): Promise<void> {
  socket.write(messageCodec.encode({ kind: 'welcome', hasTables: true }))
  const text = messageCodec.encode({ kind: 'rows', table: 'config', isWhole: true, rows: [{ key: 'config', version: 1, value: 'v1' }], version: 1 })
  const size = Math.ceil(text.length / PARTS)
  for (let at = 0; at < text.length && !socket.destroyed; at += size) {
    socket.write(text.slice(at, at + size))
    await pause(PART_MS)
  }
}

it('is not given up while a message of it arrives', async () => {
  // Guards against a source behind a full link that is left and asked anew again and again, so that a long message of it is never there.
  expect(await ended).toBe('v1')
})
