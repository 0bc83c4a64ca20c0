/** Deadlines that are over while an answer has arrived and isn't read, over real sockets. */

import { create } from '@bufbuild/protobuf'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { Done_Outcome as DoneOutcome, RunSchema, Run_Access as RunAccess, type Done } from '../../gen/peer_pb.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { RequestSpec } from '../../core/request/requestspec.ts'
import { Hints } from '../../core/routing/hints.ts'
import { freePorts } from '../../../standin/ports.ts'
import { noopAudit } from '../audit/noop.ts'
import type { CallerContext } from '../caller/context.ts'
import { runRequest } from '../caller/requestrun.ts'
import { Metrics } from '../metrics/metrics.ts'
import type { CommandHandler } from '../mysql/commandhandler.ts'
import type { Reply } from '../mysql/reply.ts'
import { MysqlServer } from '../mysql/server.ts'
import type { SlotPort } from '../peer/slotport.ts'
import { EndpointConnection } from './connection.ts'
import { Execution } from './execution.ts'
import type { Slot } from './slot.ts'
import { Transactions } from './transactions.ts'

const DEADLINE_MS = 300
const HELD_UP_MS = 1000

// A process that was held up finds the deadline over before it reads the answer that has arrived: its caller is told that the outcome is unknown.
describe('a deadline is judged after what has arrived is read', () => {
  let stop: AbortController
  let connection: EndpointConnection

  beforeEach(async () => {
    stop = new AbortController()
    const [port] = await freePorts(1)
    const query = async (_: string, reply: Reply): Promise<void> => {
      reply.ok({ affected: 1 })
      const until = performance.now() + HELD_UP_MS
      while (performance.now() < until) { /* held up */ }
    }
    const handler = { query, closed: () => undefined } as unknown as CommandHandler
    await MysqlServer.listen({ host: '127.0.0.1', port: port!, tracksSession: false, accept: async () => handler }, stop.signal)
    connection = await EndpointConnection.open({ ip: '127.0.0.1', port: port!, user: 'app', password: '', database: 'shop', connectMs: 10_000 })
  })
  afterEach(() => {
    connection.destroy()
    stop.abort()
  })

  it('by the owner of a slot', async () => {
    const slot = { borrow: async () => connection, returnConnection: () => undefined } as unknown as Slot
    const context = {
      slot,
      transactions: Transactions.create(slot),
      cleaner: { cleanIfDue: () => undefined },
      confirm: async () => true,
      proveCurrent: async () => true,
      wrote: () => undefined
    }
    const done = await new Promise<Done>(resolve => Execution.start(context, create(RunSchema, { sql: 'UPDATE t', access: RunAccess.WRITE, deadlineMs: DEADLINE_MS }), {
      head: () => undefined,
      rows: () => undefined,
      done: resolve
    }))
    expect(done).toMatchObject({ reason: '', outcome: DoneOutcome.DONE, affected: 1 })
  })

  it('by the process of the caller', async () => {
    const port: SlotPort = {
      run: ({ sql, id }, sink) => {
        connection.ask(sql).then(() => sink.done({ $typeName: 'agatepond.peer.v1.Done', id, outcome: DoneOutcome.DONE } as Done))
        return { credit: () => undefined, cancel: () => undefined }
      },
      confirm: async () => { throw new Error('not asked') },
      release: () => undefined
    }
    const now = (): Instant => performance.now() as Instant
    const context = { now, port: () => port, metrics: Metrics.create(), audit: noopAudit } as unknown as CallerContext
    const spec: RequestSpec = {
      isRead: false,
      hasIdempotencyKey: false,
      place: 'alone',
      mayCommitImplicitly: false,
      waitsForPrimary: false,
      deadline: now() + DEADLINE_MS as Instant
    }
    const identity = { caller: 'app', session: 's', group: { database: 'shop' } }
    const req = {
      sql: 'UPDATE t',
      kind: 'write',
      identity,
      hints: Hints.none,
      once: '',
      spec,
      isBinary: false,
      target: async () => ({ kind: 'endpoint', endpoint: 'shop-1', access: RunAccess.WRITE, transaction: '' })
    } as unknown as Parameters<typeof runRequest>[1]
    const done = await runRequest(context, req, { hasStarted: false } as unknown as Reply, stop.signal)
    expect(done).toMatchObject({ outcome: DoneOutcome.DONE })
  })
})
