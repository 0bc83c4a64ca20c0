/** Frames between processes that arrive late, twice, incomplete or out of order. */

import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2'
import type { AddressInfo } from 'node:net'
import { create } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import { connectNodeAdapter, createGrpcTransport } from '@connectrpc/connect-node'
import { afterEach, describe, expect, it } from 'vitest'
import { BatchSchema, DoneSchema, Done_Outcome as DoneOutcome, FrameSchema, HeadSchema, HelloSchema, Peer, ReleaseSchema, RowsSchema, RunSchema, Run_Access as RunAccess, type Batch, type Done, type Frame } from '../../gen/peer_pb.ts'
import type { HostId } from '../../core/id/host.ts'
import type { Log } from '../log/log.ts'
import { AsyncQueue } from '../queue.ts'
import { PeerLink } from './link.ts'
import type { SlotPort } from './slotport.ts'
import { PeerServer } from './server.ts'

const log = { write: () => undefined } as unknown as Log
const times = { heartbeatIntervalMs: 20, silenceTimeoutMs: 200, retryIntervalMs: 10 }
/** Callbacks of a link that these tests ignore. */
const ignoredCallbacks = { onSample: ignore, onWrote: ignore, onLinked: ignore, onLost: ignore, onActivity: ignore, onHeld: ignore, onConfig: ignore }
const hello: Frame['body'] = { case: 'hello', value: create(HelloSchema, { host: 'b', incarnation: '1' }) }
const done = (id: number): Frame['body'] => ({ case: 'done', value: create(DoneSchema, { id, outcome: DoneOutcome.DONE }) })
const rows = (id: number, text: string): Frame['body'] => ({ case: 'rows', value: create(RowsSchema, { id, rows: [Buffer.from(text)] }) })
const head = (id: number): Frame['body'] => ({ case: 'head', value: create(HeadSchema, { id }) })

let stop = new AbortController()
afterEach(() => {
  stop.abort()
  stop = new AbortController()
})

/** Starts a peer that answers each request with the frames from `answer`, and a link to it. */
async function peer (answer: (id: number, nth: number) => readonly Frame['body'][] | 'break'): Promise<{ link: PeerLink }> {
  const sessions = new Set<ServerHttp2Session>()
  let nth = 0
  const serve = async function * (batches: AsyncIterable<Batch>): AsyncGenerator<Batch> {
    yield batch([hello])
    for await (const { frames } of batches) {
      for (const { body } of frames) {
        if (body.case !== 'run') continue
        const bodies = answer(body.value.id, nth++)
        if (bodies === 'break') for (const session of sessions) session.destroy()
        else yield batch(bodies)
      }
    }
  }
  const server: Http2Server = createServer(connectNodeAdapter({ routes: router => router.service(Peer, { link: serve }) }))
  server.on('session', session => sessions.add(session))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  stop.signal.addEventListener('abort', () => {
    server.close()
    for (const session of sessions) session.destroy()
  })
  const { port } = server.address() as AddressInfo
  const link = PeerLink.open({ ...times, silenceTimeoutMs: 5000, address: `127.0.0.1:${port}`, self: 'a' as HostId, peer: 'b' as HostId, incarnation: '1', log, ...ignoredCallbacks }, stop.signal)
  await until(() => link.isLinked)
  return { link }
}

/** Runs one request and collects the calls of its sink. */
async function ask (link: PeerLink, heard: string[] = []): Promise<string[]> {
  await new Promise<Done>(resolve => link.run(create(RunSchema, { sql: 'SELECT 1' }), {
    head: () => heard.push('head'),
    rows: some => heard.push(...some.map(row => Buffer.from(row).toString())),
    done: one => {
      heard.push(one.reason === '' ? 'done' : one.reason)
      resolve(one)
    }
  }))
  return heard
}

describe('PeerLink', () => {
  // Late, duplicate and stray frames must not reach another request or one that has ended.
  it('delivers to each request only its own frames', async () => {
    const { link } = await peer((id, nth) => nth === 0
      ? [head(id), rows(id, 'first'), rows(id + 7, 'stray'), done(id), done(id), rows(id, 'late')]
      : [head(id), rows(id - 1, 'late'), rows(id, 'second'), done(id - 1), done(id)])
    const first: string[] = []
    await ask(link, first)
    expect(await ask(link)).toEqual(['head', 'second', 'done'])
    expect(first).toEqual(['head', 'first', 'done'])
  })

  // A slot owner fails in the middle of a result: the partial result must not look complete.
  it('ends an incomplete result as lost when the link breaks, and ignores later frames for it', async () => {
    const { link } = await peer((id, nth) => nth === 0 ? [head(id), rows(id, 'part')] : nth === 1 ? 'break' : [done(1), rows(1, 'old'), done(id)])
    const cut: string[] = []
    const firstRequest = ask(link, cut)
    await until(() => cut.includes('part'))
    expect(await ask(link)).toEqual(['lost'])
    expect(await firstRequest).toEqual(['head', 'part', 'lost'])
    await until(() => link.isLinked)
    expect(await ask(link)).toEqual(['done'])
    expect(cut).toEqual(['head', 'part', 'lost'])
  })
})

describe('PeerLink after 2^32 requests', () => {
  it('wraps its ids around and skips those in use', async () => {
    const ids: number[] = []
    const { link } = await peer(id => {
      ids.push(id)
      return id === 1 ? [head(id)] : [done(id)]
    })
    const open = ask(link)
    await until(() => ids.length === 1)
    Object.assign(link, { nextId: 0xfffffffe })
    expect([await ask(link), await ask(link)]).toEqual([['done'], ['done']])
    expect(ids).toEqual([1, 0xffffffff, 2])
    stop.abort()
    expect(await open).toEqual(['head', 'lost'])
  })
})

describe('PeerServer', () => {
  // Queued frames of a frozen peer arrive after its link was closed: the connection of a BEGIN run then would never be released.
  it('ignores frames that arrive after the link was closed', async () => {
    const events: string[] = []
    const slots: SlotPort = {
      run: req => {
        events.push(`run ${req.sql}`)
        return { credit: () => undefined, cancel: () => events.push(`cancel ${req.sql}`) }
      },
      confirm: async () => { throw new Error('not asked') },
      release: id => { events.push(`release ${id}`) }
    }
    const port = await freePort()
    await PeerServer.listen({ ip: '127.0.0.1', port, host: 'b' as HostId, incarnation: '1', ...times, slots, initialFrames: () => [], onConfig: () => undefined, status: () => ({}) }, stop.signal)
    const out = AsyncQueue.create<Frame['body']>()
    const answers = createClient(Peer, createGrpcTransport({ baseUrl: `http://127.0.0.1:${port}` })).link(batches(out), { signal: stop.signal })
    out.push(hello)
    out.push({ case: 'run', value: create(RunSchema, { id: 1, sql: 'BEGIN', transaction: 'tx-1' }) })
    const answerIterator = answers[Symbol.asyncIterator]()
    while (!(await answerIterator.next()).done) { /* until the server closes the silent link */ }
    out.push({ case: 'run', value: create(RunSchema, { id: 2, sql: 'LATE', transaction: 'tx-2' }) })
    out.push({ case: 'release', value: create(ReleaseSchema, { transaction: 'tx-3' }) })
    await new Promise(resolve => setTimeout(resolve, 50))
    expect(events).toEqual(['run BEGIN', 'cancel BEGIN', 'release tx-1'])
  })

  // A peer that lost its link opens another and goes on with its open transactions there; the old link is found dead only
  // later, and took them with it.
  it('leaves a transaction to the newer link that carries it on', async () => {
    const released: string[] = []
    const logged: unknown[] = []
    const slots: SlotPort = {
      run: ({ id }, sink) => {
        sink.done(create(DoneSchema, { id, outcome: DoneOutcome.DONE }))
        return { credit: () => undefined, cancel: () => undefined }
      },
      confirm: async () => { throw new Error('not asked') },
      release: id => { released.push(id) }
    }
    const port = await freePort()
    const recordingLog = { write: (event: string, fields: unknown) => logged.push([event, fields]) } as unknown as Log
    await PeerServer.listen({ ip: '127.0.0.1', port, host: 'b' as HostId, incarnation: '1', heartbeatIntervalMs: 20, silenceTimeoutMs: 60_000, slots, initialFrames: () => [], onConfig: () => undefined, status: () => ({}), log: recordingLog }, stop.signal)
    const open = (): { run: (id: number, transaction: string) => Promise<void>, close: () => void } => {
      const out = AsyncQueue.create<Frame['body']>()
      const own = new AbortController()
      const answers = createClient(Peer, createGrpcTransport({ baseUrl: `http://127.0.0.1:${port}` })).link(batches(out), { signal: own.signal })[Symbol.asyncIterator]()
      out.push(hello)
      return {
        run: async (id, transaction) => {
          out.push({ case: 'run', value: create(RunSchema, { id, transaction, access: RunAccess.TRANSACTION }) })
          for (;;) {
            const { value } = await answers.next() as { value: Batch }
            if (value.frames.some(({ body }) => body.case === 'done' && body.value.id === id)) return
          }
        },
        close: () => own.abort()
      }
    }
    const [older, newer] = [open(), open()]
    await older.run(1, 'carried on')
    await older.run(2, 'left')
    await newer.run(1, 'carried on')
    older.close()
    await until(() => logged.length === 1)
    expect(released).toEqual(['left'])
    newer.close()
    await until(() => logged.length === 2)
    expect(released).toEqual(['left', 'carried on'])
    const line = ['transactionsRolledBack', { peer: 'b', transactions: 1 }]
    expect(logged).toEqual([line, line])
  })

  // Ended transactions must neither stay in memory nor count as rolled back when the link closes.
  it('rolls back and logs open transactions only', async () => {
    const released: string[] = []
    const logged: unknown[] = []
    const slots: SlotPort = {
      run: ({ id }, sink) => {
        sink.done(create(DoneSchema, { id, outcome: DoneOutcome.DONE }))
        return { credit: () => undefined, cancel: () => undefined }
      },
      confirm: async () => { throw new Error('not asked') },
      release: id => { released.push(id) }
    }
    const port = await freePort()
    const recordingLog = { write: (event: string, fields: unknown) => logged.push([event, fields]) } as unknown as Log
    await PeerServer.listen({ ip: '127.0.0.1', port, host: 'b' as HostId, incarnation: '1', ...times, slots, initialFrames: () => [], onConfig: () => undefined, status: () => ({}), log: recordingLog }, stop.signal)
    const out = AsyncQueue.create<Frame['body']>()
    const answers = createClient(Peer, createGrpcTransport({ baseUrl: `http://127.0.0.1:${port}` })).link(batches(out), { signal: stop.signal })
    out.push(hello)
    const run = (id: number, transaction: string, access = RunAccess.TRANSACTION) => out.push({ case: 'run', value: create(RunSchema, { id, transaction, access }) })
    run(1, 'committed')
    run(2, 'committed', RunAccess.COMMIT)
    run(3, 'left')
    out.push({ case: 'release', value: create(ReleaseSchema, { transaction: 'left' }) })
    run(4, 'open')
    const answerIterator = answers[Symbol.asyncIterator]()
    while (!(await answerIterator.next()).done) { /* until the server closes the silent link */ }
    expect(released).toEqual(['left', 'open'])
    expect(logged).toEqual([['transactionsRolledBack', { peer: 'b', transactions: 1 }]])
  })
})

function ignore (): void {}

function batch (bodies: readonly Frame['body'][]): Batch {
  return create(BatchSchema, { frames: bodies.map(body => create(FrameSchema, { body })) })
}

async function * batches (out: AsyncQueue<Frame['body']>): AsyncGenerator<Batch> {
  for await (const bodies of out) yield batch(bodies)
}

async function freePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  return port
}

async function until (isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise(resolve => setTimeout(resolve, 5))
}
