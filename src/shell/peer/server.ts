/** The server side of the links between processes. */

import type { X509Certificate } from 'node:crypto'
import { create, type MessageInitShape } from '@bufbuild/protobuf'
import type { HandlerContext } from '@connectrpc/connect'
import { BatchSchema, FrameSchema, Done_Outcome as DoneOutcome, Peer, Run_Access as RunAccess, StatusReplySchema, type Batch, type Frame, type Run } from '../../gen/peer_pb.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { HostId } from '../../core/id/host.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { TransactionId } from '../../core/id/transaction.ts'
import { Log } from '../log/log.ts'
import { AsyncQueue } from '../queue.ts'
import { Silence } from './silence.ts'
import type { SlotPort } from './slotport.ts'
import type { TlsKeys } from './tlskeys.ts'
import { isCertificateFor } from './tlsname.ts'
import { TlsServer } from './tlsserver.ts'

interface Options {
  readonly ip: string
  readonly port: number
  readonly host: HostId
  readonly incarnation: string
  readonly heartbeatIntervalMs: number
  readonly silenceTimeoutMs: number
  readonly slots: SlotPort
  /** TLS keys; links are in clear text without them. */
  readonly keys?: TlsKeys | undefined
  readonly log?: Log
  /** Frames with the current state, sent first on every new link. */
  readonly initialFrames: () => readonly Frame['body'][]
  /** Called for each frame of the configuration gossip; `reply` answers on the same link. */
  readonly onConfig: (from: HostId, body: Frame['body'], reply: (body: Frame['body']) => void) => void
  readonly status: () => MessageInitShape<typeof StatusReplySchema>
}

/** Accepts links from peers and serves them the slots of this process. */
export class PeerServer {
  private readonly links = new Set<InboundLink>()
  private readonly carriers = new Map<TransactionId, InboundLink>()
  private readonly sessions = new Set<{ destroy: () => void }>()
  private stopListening: () => void = () => undefined
  private onSessionClosed: () => void = () => undefined

  private constructor (private readonly options: Options) {}

  static async listen (options: Options, signal: AbortSignal): Promise<PeerServer> {
    const it = new PeerServer(options)
    const server = TlsServer.create({
      keys: options.keys,
      log: options.log ?? Log.silent,
      routes: router => router.service(Peer, {
        link: (batches: AsyncIterable<Batch>, { values }: HandlerContext) => it.link(batches, values.get(TlsServer.certificate), values.get(TlsServer.bytesRead)),
        status: () => create(StatusReplySchema, options.status())
      })
    })
    const { sessions } = it
    it.stopListening = () => server.close()
    server.on('session', session => {
      sessions.add(session)
      session.on('error', () => undefined)
      session.once('close', () => {
        sessions.delete(session)
        it.onSessionClosed()
      })
    })
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(options.port, options.ip, resolve)
    })
    signal.addEventListener('abort', () => {
      it.stopListening()
      for (const session of sessions) session.destroy()
    }, { once: true })
    return it
  }

  /** Ends all links behind what was sent on them. Resolves when the peers have read it and closed their links, at the latest after `ms`. */
  async finish (ms: number): Promise<void> {
    this.stopListening()
    for (const link of this.links) link.out.close()
    const { sessions } = this
    if (sessions.size === 0) return
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, ms)
      this.onSessionClosed = () => {
        if (sessions.size > 0) return
        clearTimeout(timer)
        resolve()
      }
    })
  }

  /** Sends a frame to all accepted peers. */
  broadcast (body: Frame['body']): void {
    for (const link of this.links) link.send(body)
  }

  private async * link (batches: AsyncIterable<Batch>, certificate: X509Certificate | undefined, bytesRead: () => number): AsyncGenerator<Batch> {
    const link = InboundLink.open(this.options, this.carriers, certificate, bytesRead)
    this.links.add(link)
    link.read(batches)
    try {
      for await (const frames of link.out) yield create(BatchSchema, { frames: [...frames] })
    } finally {
      this.links.delete(link)
      link.close()
    }
  }
}

/** A link from one peer. When it breaks or goes silent, its requests are cancelled, and its transactions rolled back that no newer link carries on. */
class InboundLink {
  readonly out = AsyncQueue.create<Frame>()
  private readonly running = new Map<number, ReturnType<SlotPort['run']>>()
  private readonly openedAt = performance.now()
  /** The open transactions. One whose COMMIT or ROLLBACK failed stays until the peer releases it. */
  private readonly transactions = new Set<TransactionId>()
  private host = '' as HostId
  private readonly silence: Silence
  private readonly beat: NodeJS.Timeout
  private isClosed = false
  private isAccepted = false

  private constructor (
    private readonly options: Options,
    /** The newest link on which each open transaction has run a statement. */
    private readonly carriers: Map<TransactionId, InboundLink>,
    private readonly certificate: X509Certificate | undefined,
    bytesRead: () => number
  ) {
    this.silence = Silence.of(options.silenceTimeoutMs, bytesRead)
    this.beat = setInterval(() => this.checkLiveness(), options.heartbeatIntervalMs)
  }

  static open (options: Options, carriers: Map<TransactionId, InboundLink>, certificate: X509Certificate | undefined, bytesRead: () => number): InboundLink {
    const it = new InboundLink(options, carriers, certificate, bytesRead)
    if (options.keys === undefined) it.accept()
    return it
  }

  send (body: Frame['body']): void {
    if (this.isAccepted) this.out.push(create(FrameSchema, { body }))
  }

  async read (batches: AsyncIterable<Batch>): Promise<void> {
    try {
      for await (const batch of batches) {
        this.silence.heard()
        for (const frame of batch.frames) this.handleFrame(frame)
      }
    } catch {
      // The stream broke; `close` cleans up.
    }
    this.out.close()
  }

  close (): void {
    this.isClosed = true
    clearInterval(this.beat)
    this.out.close()
    for (const running of this.running.values()) running.cancel()
    // A peer that opened a newer link goes on with its transactions there.
    const left = [...this.transactions].filter(transaction => this.carriers.get(transaction) === this)
    for (const transaction of left) this.release(transaction)
    if (left.length > 0) this.options.log?.write('transactionsRolledBack', { peer: this.host, transactions: left.length })
    this.running.clear()
    this.transactions.clear()
  }

  private accept (): void {
    if (this.isAccepted) return
    this.isAccepted = true
    const { host, incarnation, initialFrames } = this.options
    this.send({ case: 'hello', value: { $typeName: 'agatepond.peer.v1.Hello', host, incarnation } })
    for (const body of initialFrames()) this.send(body)
  }

  /**
   * With TLS, accepts the peer only if its certificate names the host in its
   * hello, so that no host can act as another. No other frame is sent or processed before.
   */
  private handleHello (host: string): void {
    const { keys, log } = this.options
    if (keys !== undefined && (this.certificate === undefined || !isCertificateFor(this.certificate, host))) {
      log?.write('peerRefused', { peer: host, err: `its certificate is for ${this.certificate?.subject ?? 'nobody'}` })
      return this.refuse()
    }
    this.host = host as HostId
    this.accept()
  }

  private refuse (): void {
    this.isClosed = true
    this.out.close()
  }

  /** Closes a silent link, since a link can go silent without an error; otherwise sends a heartbeat. */
  private async checkLiveness (): Promise<void> {
    if (await this.silence.isTooLong()) return this.out.close()
    this.send({ case: 'beat', value: { $typeName: 'agatepond.peer.v1.Beat' } })
  }

  /**
   * Ignores frames after the link was closed: a peer that was frozen may still
   * deliver queued ones, and the connection of a BEGIN run then would never be released.
   */
  private handleFrame (frame: Frame): void {
    if (this.isClosed) return
    const { body } = frame
    if (body.case === 'hello') return this.handleHello(body.value.host)
    if (!this.isAccepted) return this.refuse()
    switch (body.case) {
      case 'configDigest':
      case 'configBody': return this.options.onConfig(this.host, body, reply => this.send(reply))
      case 'run': return this.run(body.value)
      case 'cancel':
        this.running.get(body.value.id)?.cancel()
        this.running.delete(body.value.id)
        return
      case 'credit': return this.running.get(body.value.id)?.credit(body.value.bytes)
      case 'release': return this.release(body.value.transaction as TransactionId)
      case 'confirm':
        this.confirm(body.value)
    }
  }

  private release (transaction: TransactionId): void {
    this.forget(transaction)
    this.options.slots.release(transaction)
  }

  private carry (transaction: TransactionId): void {
    this.transactions.add(transaction)
    const carrier = this.carriers.get(transaction)
    if (carrier === undefined || carrier.openedAt <= this.openedAt) this.carriers.set(transaction, this)
  }

  private forget (transaction: TransactionId): void {
    this.transactions.delete(transaction)
    this.carriers.delete(transaction)
  }

  private run (req: Run): void {
    const { id } = req
    if (req.transaction !== '') this.carry(req.transaction as TransactionId)
    let isDone = false
    const running = this.options.slots.run(req, {
      head: columns => this.send({ case: 'head', value: { $typeName: 'agatepond.peer.v1.Head', id, columns: [...columns] } }),
      rows: rows => this.send({ case: 'rows', value: { $typeName: 'agatepond.peer.v1.Rows', id, rows: [...rows] } }),
      done: done => {
        isDone = true
        this.running.delete(id)
        if (isEnd(req) && done.outcome === DoneOutcome.DONE) this.forget(req.transaction as TransactionId)
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

/** Whether the request ends its transaction. */
function isEnd ({ access }: Run): boolean {
  return access === RunAccess.COMMIT || access === RunAccess.ROLLBACK
}
