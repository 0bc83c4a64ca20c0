/** Links between two processes on which something has arrived, or is arriving, when their silence is judged. */

import { randomBytes } from 'node:crypto'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { setImmediate as readPending } from 'node:timers/promises'
import { create } from '@bufbuild/protobuf'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { DoneSchema, Done_Outcome as DoneOutcome, RunSchema, type Done } from '../../gen/peer_pb.ts'
import type { HostId } from '../../core/id/host.ts'
import { freePorts } from '../../../standin/ports.ts'
import { Log } from '../log/log.ts'
import { PeerLink } from './link.ts'
import { PeerServer } from './server.ts'
import { TlsKeys } from './tlskeys.ts'

type Direction = 'down' | 'up'
type Security = 'in clear' | 'with TLS'

const CASES: ReadonlyArray<[Direction, Security]> = [['down', 'in clear'], ['up', 'in clear'], ['down', 'with TLS'], ['up', 'with TLS']]
const SILENT_MS = 200
const NEVER_MS = 3_600_000
const STEP_MS = 150
/** Each has the end of a record of TLS, which is read as a whole (16 KiB). */
const PIECES = 3
/** Less than what HTTP/2 lets be sent unread. The rows are random, since answers are compressed. */
const LARGE_BYTES = 50_000

/** A way between two processes whose bytes can be looked at or held back. */
class Way {
  /** Called with the bytes of each direction in place of passing them on. */
  take: (direction: Direction, bytes: Buffer, to: Socket) => void = (_, bytes, to) => to.write(bytes)
  private readonly counts = { down: 0, up: 0 }

  private constructor (private readonly signal: AbortSignal) {}

  static async open (target: number, signal: AbortSignal): Promise<{ way: Way, port: number }> {
    const way = new Way(signal)
    const server = createServer(client => {
      const peer = connect(target, '127.0.0.1')
      for (const [direction, from, to] of [['up', client, peer], ['down', peer, client]] as const) {
        from.on('data', (bytes: Buffer) => {
          way.counts[direction]++
          way.take(direction, bytes, to)
        })
        from.on('error', () => undefined)
        from.on('close', () => to.destroy())
        signal.addEventListener('abort', () => from.destroy())
      }
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    signal.addEventListener('abort', () => server.close())
    return { way, port: (server.address() as AddressInfo).port }
  }

  /** Resolves when so many more chunks, of which each has at least one beat, have come that way. */
  async passes (direction: Direction, more: number): Promise<void> {
    const due = this.counts[direction] + more
    while (this.counts[direction] < due && !this.signal.aborted) await readPending()
  }
}

describe('the silence of a link', () => {
  let stop: AbortController
  beforeEach(() => { stop = new AbortController() })
  afterEach(() => {
    vi.restoreAllMocks()
    stop.abort()
  })

  /** A link to a peer that answers each request with one row; only the side that receives in the direction minds silence. */
  async function link (direction: Direction, security: Security): Promise<{ link: PeerLink, way: Way }> {
    const [port] = await freePorts(1)
    const keysOf = (host: string): TlsKeys | undefined => security === 'with TLS'
      ? TlsKeys.read({ key: `test/keys/first-${host}.key`, certificate: `test/keys/first-${host}.pem`, authority: 'test/keys/first.pem' })
      : undefined
    const times = { heartbeatIntervalMs: 20, retryIntervalMs: 10 }
    const row = randomBytes(direction === 'down' ? LARGE_BYTES : 1)
    await PeerServer.listen({
      ...times,
      ip: '127.0.0.1',
      port: port!,
      host: 'host-2' as HostId,
      keys: keysOf('host-2'),
      incarnation: '1',
      silenceTimeoutMs: direction === 'up' ? SILENT_MS : NEVER_MS,
      slots: {
        run: ({ id }, sink) => {
          sink.rows([row])
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
    const { way, port: address } = await Way.open(port!, stop.signal)
    const ignore = (): void => undefined
    const one = PeerLink.open({
      ...times,
      address: `127.0.0.1:${address}`,
      self: 'host-1' as HostId,
      peer: 'host-2' as HostId,
      keys: keysOf('host-1'),
      incarnation: '1',
      silenceTimeoutMs: direction === 'down' ? SILENT_MS : NEVER_MS,
      log: Log.silent,
      onSample: ignore,
      onWrote: ignore,
      onLinked: ignore,
      onLost: ignore,
      onActivity: ignore,
      onHeld: ignore,
      onConfig: ignore
    }, stop.signal)
    while (!one.isLinked) await readPending()
    return { link: one, way }
  }

  // A process that was held up finds its time over before it reads what has arrived meanwhile: all requests on the link ended as unknown.
  it.each(CASES)('is judged after what has arrived %s the link is read, %s', async (direction, security) => {
    const { link: one, way } = await link(direction, security)
    way.take = (from, bytes, to) => {
      to.write(bytes)
      if (from !== direction) return
      way.take = (_, rest, target) => target.write(rest)
      const until = performance.now() + 2 * SILENT_MS
      while (performance.now() < until) { /* held up */ }
    }
    expect(await ask(one)).toMatchObject({ reason: '', outcome: DoneOutcome.DONE })
  })

  // A batch that takes longer than the time of silence to arrive, on a full link, is not silence.
  it.each(CASES)('is broken by each part of a batch that arrives slowly %s the link, %s', async (direction, security) => {
    const { link: one, way } = await link(direction, security)
    const opposite = direction === 'up' ? 'down' : 'up'
    let now = performance.now()
    vi.spyOn(performance, 'now').mockImplementation(() => now)
    await way.passes('down', 2)
    await way.passes('up', 2)
    const held: Buffer[] = []
    let target: Socket | undefined
    way.take = (from, bytes, to) => {
      if (from !== direction) return to.write(bytes)
      held.push(bytes)
      target = to
    }
    const answer = ask(one)
    while (held.reduce((sum, bytes) => sum + bytes.length, 0) < LARGE_BYTES) await readPending()
    const batch = Buffer.concat(held.splice(0))
    for (let i = 0; i < PIECES; i++) {
      target!.write(batch.subarray(Math.floor(batch.length * i / PIECES), Math.floor(batch.length * (i + 1) / PIECES)))
      await Promise.race([answer, way.passes(opposite, 2)])
      now += STEP_MS
      await Promise.race([answer, way.passes(opposite, 2)])
    }
    way.take = (_, bytes, to) => to.write(Buffer.concat([...held.splice(0), bytes]))
    expect(await answer).toMatchObject({ reason: '', outcome: DoneOutcome.DONE })
  })

  async function ask (one: PeerLink): Promise<Done> {
    return await new Promise(resolve => one.run(create(RunSchema, { sql: 'x'.repeat(LARGE_BYTES) }), {
      head: () => undefined,
      rows: () => undefined,
      done: resolve
    }))
  }
})
