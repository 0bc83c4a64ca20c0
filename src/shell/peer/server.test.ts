/** Answers that are on their way to peers when their process ends. */

import { randomBytes } from 'node:crypto'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { setImmediate as readPending } from 'node:timers/promises'
import { create } from '@bufbuild/protobuf'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { DoneSchema, Done_Outcome as DoneOutcome, RunSchema, type Done } from '../../gen/peer_pb.ts'
import type { HostId } from '../../core/id/host.ts'
import { freePorts } from '../../../standin/ports.ts'
import { Log } from '../log/log.ts'
import { PeerLink } from './link.ts'
import { PeerServer } from './server.ts'

const PATIENT_MS = 60_000
/** More rows than HTTP/2 lets be sent unread. */
const ROWS = 40
const ROW_BYTES = 10_000

describe('a process that ends its links', () => {
  let stop: AbortController
  let server: PeerServer
  let link: PeerLink
  let serverSide: Socket
  /** The requests that were run. */
  let ran: string[]

  beforeEach(async () => {
    stop = new AbortController()
    ran = []
    const [port] = await freePorts(1)
    const times = { heartbeatIntervalMs: 20, silenceTimeoutMs: PATIENT_MS, retryIntervalMs: 10 }
    server = await PeerServer.listen({
      ...times,
      ip: '127.0.0.1',
      port: port!,
      host: 'b' as HostId,
      incarnation: '1',
      slots: {
        run: ({ id, sql }, sink) => {
          ran.push(sql)
          for (let i = 0; i < ROWS; i++) sink.rows([randomBytes(ROW_BYTES)])
          sink.done(create(DoneSchema, { id, outcome: DoneOutcome.DONE }))
          return { credit: () => undefined, cancel: () => undefined }
        },
        confirm: async () => { throw new Error('not asked') },
        release: () => undefined
      },
      initialFrames: () => [],
      onConfig: () => undefined,
      status: () => ({})
    }, stop.signal)
    const way = createServer(client => {
      serverSide = connect(port!, '127.0.0.1')
      client.pipe(serverSide)
      serverSide.on('data', bytes => client.write(bytes))
      serverSide.on('end', () => client.end())
      serverSide.on('error', () => client.destroy())
      client.on('error', () => serverSide.destroy())
    })
    await new Promise<void>(resolve => { way.listen(0, '127.0.0.1', resolve) })
    stop.signal.addEventListener('abort', () => way.close())
    const ignore = (): void => undefined
    link = PeerLink.open({
      ...times,
      address: `127.0.0.1:${(way.address() as AddressInfo).port}`,
      self: 'a' as HostId,
      peer: 'b' as HostId,
      incarnation: '1',
      log: Log.silent,
      onSample: ignore,
      onWrote: ignore,
      onLinked: ignore,
      onLost: ignore,
      onActivity: ignore,
      onHeld: ignore,
      onConfig: ignore
    }, stop.signal)
    while (!link.isLinked) await readPending()
  })
  afterEach(() => stop.abort())

  async function ask (): Promise<Done> {
    return await new Promise(resolve => link.run(create(RunSchema, { sql: 'SELECT 1' }), { head: () => undefined, rows: () => undefined, done: resolve }))
  }

  // Answers wait in the process for a link that is full. They ended with it a tenth of a second later, and their callers were told "outcome unknown".
  it('ends when its peers have read their answers', async () => {
    serverSide.pause()
    const answer = ask()
    while (ran.length === 0) await readPending()
    const ended = server.finish(PATIENT_MS).then(() => stop.abort())
    await Promise.race([ended, new Promise(resolve => { setTimeout(resolve, 100) })])
    serverSide.resume()
    expect(await answer).toMatchObject({ reason: '', outcome: DoneOutcome.DONE })
    await ended
  })

  it('waits no longer than it was told for a peer that reads nothing', async () => {
    serverSide.pause()
    const answer = ask()
    while (ran.length === 0) await readPending()
    await server.finish(1)
    stop.abort()
    expect(await answer).toMatchObject({ outcome: DoneOutcome.UNKNOWN })
  })
})
