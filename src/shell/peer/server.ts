/** The accepting side of the links between processes. */

import { createServer, type Http2Server } from 'node:http2'
import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { BatchSchema, FrameSchema, Peer, StatusReplySchema, type Batch, type Frame } from '../../gen/peer_pb.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { HostId } from '../../core/id/host.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { TransactionId } from '../../core/id/transaction.ts'
import { AsyncQueue } from '../queue.ts'
import type { SlotPort } from './port.ts'

interface Options {
  readonly ip: string
  readonly port: number
  readonly host: HostId
  readonly incarnation: string
  readonly beatMs: number
  readonly silentMs: number
  readonly slots: SlotPort
  /** Frames that a new link is sent at once, so that it knows what the others know. */
  readonly greeting: () => readonly Frame['body'][]
  /** A frame of the gossip of configurations; `reply` answers on the same link. */
  readonly onConfig: (from: HostId, body: Frame['body'], reply: (body: Frame['body']) => void) => void
  readonly status: () => MessageInitShape<typeof StatusReplySchema>
}

/** Serves the slots of this process to its peers. */
export class PeerServer {
  private readonly links = new Set<Inbound>()

  private constructor (private readonly options: Options) {}

  static async listen (options: Options, signal: AbortSignal): Promise<PeerServer> {
    const it = new PeerServer(options)
    const server: Http2Server = createServer(connectNodeAdapter({
      routes: router => router.service(Peer, {
        link: (batches: AsyncIterable<Batch>) => it.link(batches),
        status: () => create(StatusReplySchema, options.status())
      })
    }))
    const sessions = new Set<{ destroy: () => void }>()
    server.on('session', session => {
      sessions.add(session)
      session.on('error', () => undefined)
      session.once('close', () => sessions.delete(session))
    })
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(options.port, options.ip, resolve)
    })
    signal.addEventListener('abort', () => {
      server.close()
      for (const session of sessions) session.destroy()
    }, { once: true })
    return it
  }

  broadcast (body: Frame['body']): void {
    for (const link of this.links) link.send(body)
  }

  private async * link (batches: AsyncIterable<Batch>): AsyncGenerator<Batch> {
    const link = Inbound.open(this.options)
    this.links.add(link)
    for (const body of this.options.greeting()) link.send(body)
    link.read(batches)
    try {
      for await (const frames of link.out) yield create(BatchSchema, { frames: [...frames] })
    } finally {
      this.links.delete(link)
      link.close()
    }
  }
}

/** One peer that asks. When it's gone or silent, what it asked for is given up and its transactions are rolled back. */
class Inbound {
  readonly out = AsyncQueue.create<Frame>()
  private readonly running = new Map<number, ReturnType<SlotPort['run']>>()
  private readonly transactions = new Set<TransactionId>()
  private host = '' as HostId
  private lastHeard = performance.now()
  private readonly beat: NodeJS.Timeout
  private isClosed = false

  private constructor (private readonly options: Options) {
    this.beat = setInterval(() => this.onBeat(), options.beatMs)
  }

  static open (options: Options): Inbound {
    const it = new Inbound(options)
    it.send({ case: 'hello', value: { $typeName: 'agatepond.peer.v1.Hello', host: options.host, incarnation: options.incarnation } })
    return it
  }

  send (body: Frame['body']): void {
    this.out.push(create(FrameSchema, { body }))
  }

  async read (batches: AsyncIterable<Batch>): Promise<void> {
    try {
      for await (const batch of batches) {
        this.lastHeard = performance.now()
        for (const frame of batch.frames) this.take(frame)
      }
    } catch {
      // The stream broke: the peer is gone, which `close` deals with.
    }
    this.out.close()
  }

  close (): void {
    this.isClosed = true
    clearInterval(this.beat)
    this.out.close()
    for (const running of this.running.values()) running.cancel()
    for (const transaction of this.transactions) this.options.slots.release(transaction)
    this.running.clear()
    this.transactions.clear()
  }

  /** A link can go silent for good without an error; the time since the last frame is the only sign. */
  private onBeat (): void {
    if (performance.now() - this.lastHeard > this.options.silentMs) return this.out.close()
    this.send({ case: 'beat', value: { $typeName: 'agatepond.peer.v1.Beat' } })
  }

  /**
   * Against a peer that was frozen: what it had queued still arrives after its
   * link was given up. A BEGIN that ran then would hold its connection for good.
   */
  private take (frame: Frame): void {
    if (this.isClosed) return
    const { body } = frame
    switch (body.case) {
      case 'hello':
        this.host = body.value.host as HostId
        return
      case 'configDigest':
      case 'configBody': return this.options.onConfig(this.host, body, reply => this.send(reply))
      case 'run': return this.run(body.value)
      case 'cancel':
        this.running.get(body.value.id)?.cancel()
        this.running.delete(body.value.id)
        return
      case 'credit': return this.running.get(body.value.id)?.credit(body.value.bytes)
      case 'release': return this.options.slots.release(body.value.transaction as TransactionId)
      case 'confirm':
        this.confirm(body.value)
    }
  }

  private run (req: Extract<Frame['body'], { case: 'run' }>['value']): void {
    const { id } = req
    if (req.transaction !== '') this.transactions.add(req.transaction as TransactionId)
    let isDone = false
    const running = this.options.slots.run(req, {
      head: columns => this.send({ case: 'head', value: { $typeName: 'agatepond.peer.v1.Head', id, columns: [...columns] } }),
      rows: rows => this.send({ case: 'rows', value: { $typeName: 'agatepond.peer.v1.Rows', id, rows: [...rows] } }),
      done: done => {
        isDone = true
        this.running.delete(id)
        this.send({ case: 'done', value: done })
      }
    })
    if (!isDone) this.running.set(id, running)
  }

  private async confirm (req: Extract<Frame['body'], { case: 'confirm' }>['value']): Promise<void> {
    const answer = await this.options.slots.confirm(
      req.endpoint as EndpointId, req.term as Term, req.position as Position, req.deadlineMs)
    this.send({ case: 'confirmed', value: { ...answer, id: req.id } })
  }
}
