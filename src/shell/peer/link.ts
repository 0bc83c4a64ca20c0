/** The client side of a link to a peer: one stream, reopened when it breaks or goes silent. */

import { create } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import { createGrpcTransport } from '@connectrpc/connect-node'
import { BatchSchema, ConfirmedSchema, FrameSchema, Peer, type Batch, type Confirmed, type Done, type Frame, type Run } from '../../gen/peer_pb.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { HostId } from '../../core/id/host.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { TransactionId } from '../../core/id/transaction.ts'
import type { Log } from '../log/log.ts'
import { AsyncQueue } from '../queue.ts'
import { refusal } from './refusal.ts'
import { Silence } from './silence.ts'
import type { SlotPort } from './slotport.ts'
import type { TlsKeys } from './tlskeys.ts'
import { createPeerSession } from './tlssession.ts'

interface Options {
  readonly address: string
  readonly self: HostId
  readonly peer: HostId
  readonly incarnation: string
  readonly heartbeatIntervalMs: number
  readonly silenceTimeoutMs: number
  readonly retryIntervalMs: number
  readonly log: Log
  /** TLS keys; the link is in clear text without them. */
  readonly keys?: TlsKeys | undefined
  readonly onSample: (frame: Extract<Frame['body'], { case: 'sample' }>['value']) => void
  /** Called whenever a batch arrives on the established link, with the peer's incarnation. */
  readonly onActivity: (incarnation: string) => void
  readonly onHeld: (frame: Extract<Frame['body'], { case: 'held' }>['value']) => void
  /** Called when the stream broke or went silent, before its open requests end. */
  readonly onLost: () => void
  readonly onWrote: (frame: Extract<Frame['body'], { case: 'wrote' }>['value']) => void
  readonly onLinked: () => void
  /** Called for each frame of the configuration gossip. */
  readonly onConfig: (body: Frame['body']) => void
}

const MAX_ID = 0xffffffff

type Sink = Parameters<SlotPort['run']>[1]

/** Sends requests to the slots of one peer. While the link is down, requests are refused at once as not run. */
export class PeerLink implements SlotPort {
  private out: AsyncQueue<Frame> | undefined
  private readonly sinks = new Map<number, Sink>()
  private readonly pendingConfirms = new Map<number, (answer: Confirmed) => void>()
  private nextId = 0
  private silence: Silence | undefined
  private isUp = false
  /** The peer's incarnation, from the hello of the current stream. */
  private incarnation = ''

  private constructor (private readonly options: Options) {}

  static open (options: Options, signal: AbortSignal): PeerLink {
    const it = new PeerLink(options)
    it.keepOpen(signal)
    return it
  }

  get isLinked (): boolean {
    return this.isUp
  }

  run (req: Run, sink: Sink): ReturnType<SlotPort['run']> {
    const id = this.newId()
    if (!this.isUp) {
      sink.done(refusal(id, 'noSlotOwner'))
      return { credit: () => undefined, cancel: () => undefined }
    }
    this.sinks.set(id, sink)
    this.send({ case: 'run', value: { ...req, id } })
    return {
      credit: bytes => this.send({ case: 'credit', value: { $typeName: 'agatepond.peer.v1.Credit', id, bytes } }),
      cancel: () => {
        if (!this.sinks.delete(id)) return
        this.send({ case: 'cancel', value: { $typeName: 'agatepond.peer.v1.Cancel', id } })
      }
    }
  }

  async confirm (endpoint: EndpointId, term: Term, position: Position, ms: number): Promise<Confirmed> {
    if (!this.isUp) return create(ConfirmedSchema, { ok: false })
    const id = this.newId()
    return await new Promise(resolve => {
      this.pendingConfirms.set(id, resolve)
      this.send({ case: 'confirm', value: { $typeName: 'agatepond.peer.v1.Confirm', id, endpoint, term, position, deadlineMs: ms } })
    })
  }

  release (transaction: TransactionId): void {
    this.send({ case: 'release', value: { $typeName: 'agatepond.peer.v1.Release', transaction } })
  }

  sendIfLinked (body: Frame['body']): void {
    if (this.isUp) this.send(body)
  }

  /** Ids are 32 bits wide and wrap around on a busy link; ids still in use are skipped. */
  private newId (): number {
    do this.nextId = this.nextId % MAX_ID + 1
    while (this.sinks.has(this.nextId) || this.pendingConfirms.has(this.nextId))
    return this.nextId
  }

  private send (body: Frame['body']): void {
    this.out?.push(create(FrameSchema, { body }))
  }

  /** Reopens the stream after each loss until the signal is aborted. */
  private async keepOpen (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.runStream(signal)
      await new Promise(resolve => { setTimeout(resolve, this.options.retryIntervalMs) })
    }
  }

  /** Runs one stream until it breaks, goes silent or the signal is aborted. */
  private async runStream (signal: AbortSignal): Promise<void> {
    const { options } = this
    const broken = new AbortController()
    const stop = (): void => broken.abort()
    signal.addEventListener('abort', stop, { once: true })
    const out = AsyncQueue.create<Frame>()
    this.out = out
    const session = createPeerSession(options.address, options.peer, options.keys)
    const silence = Silence.of(options.silenceTimeoutMs, session.bytesRead)
    this.silence = silence
    const transport = createGrpcTransport(session)
    this.send({ case: 'hello', value: { $typeName: 'agatepond.peer.v1.Hello', host: options.self, incarnation: options.incarnation } })
    const beat = setInterval(async () => {
      if (await silence.isTooLong()) return stop()
      this.send({ case: 'beat', value: { $typeName: 'agatepond.peer.v1.Beat' } })
    }, options.heartbeatIntervalMs)
    try {
      const answers = createClient(Peer, transport).link(batches(out), { signal: broken.signal })
      for await (const batch of answers) this.handleBatch(batch)
    } catch {
      // A refused, broken or silent stream ends the same way, below.
    }
    clearInterval(beat)
    signal.removeEventListener('abort', stop)
    out.close()
    session.sessionManager.abort()
    this.handleLoss()
  }

  private handleBatch (batch: Batch): void {
    this.silence?.heard()
    for (const { body } of batch.frames) this.handleFrame(body)
    if (this.isUp) this.options.onActivity(this.incarnation)
  }

  /**
   * Checks the peer's name: its address may have been reassigned to another
   * host since the host list was read, and that host doesn't own the peer's slots.
   */
  private handleHello (host: string, incarnation: string): void {
    if (host !== this.options.peer) throw new Error(`${this.options.address} is ${host} now`)
    this.isUp = true
    this.incarnation = incarnation
    this.options.onActivity(incarnation)
    this.options.log.write('peerLinked', { peer: this.options.peer })
    this.options.onLinked()
  }

  private handleFrame (body: Frame['body']): void {
    switch (body.case) {
      case 'hello': return this.handleHello(body.value.host, body.value.incarnation)
      case 'held': return this.options.onHeld(body.value)
      case 'configDigest':
      case 'configBody': return this.options.onConfig(body)
      case 'sample': return this.options.onSample(body.value)
      case 'wrote': return this.options.onWrote(body.value)
      case 'head': return this.sinks.get(body.value.id)?.head(body.value.columns)
      case 'rows': return this.sinks.get(body.value.id)?.rows(body.value.rows)
      case 'done': return this.finish(body.value)
      case 'confirmed':
        this.pendingConfirms.get(body.value.id)?.(body.value)
        this.pendingConfirms.delete(body.value.id)
    }
  }

  private finish (done: Done): void {
    const sink = this.sinks.get(done.id)
    this.sinks.delete(done.id)
    sink?.done(done)
  }

  /** Ends all open requests with an unknown outcome: what was sent on the lost stream may have run. */
  private handleLoss (): void {
    if (this.isUp) this.options.log.write('peerLost', { peer: this.options.peer })
    this.isUp = false
    this.out = undefined
    this.options.onLost()
    for (const [id, sink] of [...this.sinks]) {
      this.sinks.delete(id)
      sink.done(refusal(id, 'lost', 'the process that holds the slot is gone'))
    }
    for (const resolve of this.pendingConfirms.values()) resolve(create(ConfirmedSchema, { ok: false }))
    this.pendingConfirms.clear()
  }
}

async function * batches (out: AsyncQueue<Frame>): AsyncGenerator<Batch> {
  for await (const frames of out) yield create(BatchSchema, { frames: [...frames] })
}
