/** Connections to an endpoint that go silent, between one slot owner and one stand-in endpoint in this process. */

import { create } from '@bufbuild/protobuf'
import initSqlJs from 'sql.js'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { Group } from '../src/core/group/group.ts'
import type { Sample } from '../src/core/group/sample.ts'
import type { EndpointId } from '../src/core/id/endpoint.ts'
import type { GroupId } from '../src/core/id/group.ts'
import type { Instant } from '../src/core/id/instant.ts'
import { ConfirmedSchema, Done_Outcome as DoneOutcome, Run_Access as RunAccess, RunSchema } from '../src/gen/peer_pb.ts'
import { SlotOwner } from '../src/shell/endpoint/owner.ts'
import { Log } from '../src/shell/log/log.ts'
import { MysqlServer } from '../src/shell/mysql/server.ts'
import { Replication } from '../standin/endpoint/replication.ts'
import { Server } from '../standin/endpoint/server.ts'
import { EndpointSession } from '../standin/endpoint/session.ts'
import { freePorts } from '../standin/ports.ts'
import { Relay } from './failover/relay.ts'

const ENDPOINT = 'e1' as EndpointId
const PACE = { misses: 2, rankDelayMs: 150, roundMs: 500, jitterMs: 100 }
/** Long enough that a busy machine doesn't look like a silent one. */
const PROBE_TIMEOUT_MS = 1000
const IDLE_MS = 1100

let relay: Relay
let owner: SlotOwner
let stop: AbortController
let samples: Sample[]

beforeEach(async () => {
  stop = new AbortController()
  samples = []
  const [port, replicationPort] = await freePorts(2) as [number, number]
  await startEndpoint(port, replicationPort)
  relay = await Relay.to(port)
  owner = startOwner(relay.port)
  await until(() => samples.some(sample => sample.role === 'primary'))
})

afterEach(() => {
  stop.abort()
  relay.close()
})

describe('a silent connection is not a dead server', () => {
  // A firewall forgets the open connections of a proxy. They stay open and
  // nothing arrives on them, while new ones work: the server must not be
  // judged by them.
  it('the probe goes on over a new connection', async () => {
    for (let i = 0; i < 3; i++) {
      const before = samples.length
      relay.silence()
      await until(() => samples.length >= before + 5)
    }
    expect(samples.filter(sample => !sample.reachable)).toEqual([])
  })

  // The same happens to the connections that statements use. The next request
  // must not wait on a dead one until its deadline, nor be told "unknown".
  it('a request finds a connection that works', async () => {
    expect(await read()).toBe(DoneOutcome.DONE)
    await new Promise(resolve => { setTimeout(resolve, IDLE_MS) })
    relay.silence()
    expect(await read()).toBe(DoneOutcome.DONE)
  })
})

async function startEndpoint (port: number, replicationPort: number): Promise<void> {
  const server = Server.create(ENDPOINT, await initSqlJs())
  const replication = Replication.listen(server, '127.0.0.1', replicationPort)
  server.seal(1, 'installer')
  server.promote(1, 'installer')
  const accept = async (): Promise<EndpointSession> => EndpointSession.create({
    server, replication, addresses: new Map(), mayControl: true, statementMs: () => 0, onClosed: () => undefined, onStatement: () => undefined
  })
  await MysqlServer.listen({ host: '127.0.0.1', port, tracksSession: true, accept }, stop.signal)
}

function startOwner (port: number): SlotOwner {
  const place = { ip: '127.0.0.1', port, user: 'data', password: 'data', database: 'shop', connectMs: 1000 }
  const now = (): Instant => performance.now() as Instant
  return SlotOwner.start({
    endpoint: ENDPOINT,
    group: Group.of('shop' as GroupId, [ENDPOINT]),
    addresses: new Map([[ENDPOINT, { data: place, control: place }]]),
    connections: 8,
    rank: 0,
    pace: PACE,
    probeMs: 50,
    probeTimeoutMs: PROBE_TIMEOUT_MS,
    proposer: 'test',
    now,
    chance: () => 0,
    log: Log.create('test'),
    confirmAt: async () => create(ConfirmedSchema, { ok: true }),
    onSample: sample => samples.push(sample),
    onWrote: () => undefined,
    record: () => undefined
  }, stop.signal)
}

async function read (): Promise<DoneOutcome> {
  return await new Promise(resolve => {
    const run = create(RunSchema, { id: 1, endpoint: ENDPOINT, sql: 'SELECT 1', access: RunAccess.READ, deadlineMs: 5000, database: 'shop' })
    owner.run(run, { head: () => undefined, rows: () => undefined, done: done => resolve(done.outcome) })
  })
}

async function until (holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise(resolve => { setTimeout(resolve, 10) })
}
