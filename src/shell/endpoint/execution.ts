/** One request on a slot, from its borrowing of a connection to its outcome. */

import { create } from '@bufbuild/protobuf'
import { Done_Outcome as DoneOutcome, DoneSchema, Run_Access as RunAccess, type Done, type Run } from '../../gen/peer_pb.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { TransactionId } from '../../core/id/transaction.ts'
import { statementKind } from '../../core/routing/statement.ts'
import type { OkPacket } from '../mysql/okpacket.ts'
import { refusal } from '../peer/answer.ts'
import type { SlotPort } from '../peer/port.ts'
import type { EndpointConnection } from './connection.ts'
import { SlotRefusal } from './refusal.ts'
import type { Slot } from './slot.ts'

type Sink = Parameters<SlotPort['run']>[1]

interface Context {
  readonly slot: Slot
  /** Whether a second server has received the position in the term. */
  readonly confirm: (term: Term, position: Position, ms: number) => Promise<boolean>
  /** Whether this endpoint is still the primary, proved after the call by it and a second server. */
  readonly proveCurrent: (ms: number) => Promise<boolean>
}

const ER_READ_ONLY = 1290
const IN_TRANSACTION = 1
/** Bytes of rows that may be under way before the asker gives credit. */
const FIRST_CREDIT = 256 * 1024

/** Runs one request. `cancel` closes its connection, so that a late answer can't reach anyone else. */
export class Execution {
  private readonly cancelled = new AbortController()
  private connection: EndpointConnection | undefined
  private creditLeft = FIRST_CREDIT
  private rows: Buffer[] = []
  private isOver = false
  private readonly began = performance.now()

  private constructor (
    private readonly context: Context,
    private readonly req: Run,
    private readonly sink: Sink
  ) {}

  static start (context: Context, req: Run, sink: Sink): Execution {
    const it = new Execution(context, req, sink)
    it.run()
    return it
  }

  credit (bytes: number): void {
    const wasEmpty = this.creditLeft <= 0
    this.creditLeft += bytes
    if (wasEmpty && this.creditLeft > 0) this.connection?.resume()
  }

  cancel (): void {
    if (this.isOver) return
    this.isOver = true
    this.cancelled.abort()
    this.closeConnection()
  }

  private get transaction (): TransactionId {
    return this.req.transaction as TransactionId
  }

  private get isInTransaction (): boolean {
    return this.req.transaction !== ''
  }

  private async run (): Promise<void> {
    const timer = setTimeout(() => this.expire(), this.req.deadlineMs)
    try {
      if (this.req.access === RunAccess.STRICT && !await this.context.proveCurrent(this.req.deadlineMs)) {
        return this.finish(refusal(this.req.id, 'unproved'))
      }
      const connection = await this.obtain()
      if (connection === undefined) return
      this.finish(await this.ask(connection))
    } finally {
      clearTimeout(timer)
    }
  }

  /** The deadline passed. Before the statement was sent that is proof that it didn't run; after, its outcome is unknown. */
  private expire (): void {
    const wasSent = this.connection !== undefined
    this.finish(refusal(this.req.id, wasSent ? 'deadline' : 'busy'))
    this.cancelled.abort()
    this.closeConnection()
  }

  private async obtain (): Promise<EndpointConnection | undefined> {
    const pinned = this.isInTransaction ? this.context.slot.pinnedBy(this.transaction) : undefined
    if (pinned !== undefined) return pinned
    const isFirst = statementKind(this.req.sql) === 'begin'
    if (this.isInTransaction && !isFirst) {
      this.finish(refusal(this.req.id, 'lostTransaction'))
      return undefined
    }
    try {
      const connection = await this.context.slot.borrow({
        class: this.req.class,
        caller: this.req.caller,
        deadlineMs: this.req.deadlineMs - (performance.now() - this.began),
        isTransaction: this.isInTransaction
      }, this.cancelled.signal)
      if (this.isOver) {
        this.context.slot.giveBack(connection, true)
        return undefined
      }
      if (this.isInTransaction) this.context.slot.pin(this.transaction, connection)
      return connection
    } catch (err) {
      const isRefused = err instanceof SlotRefusal
      this.finish(isRefused
        ? refusal(this.req.id, err.reason, '', err.retryAfterMs)
        : refusal(this.req.id, 'unreachable', (err as Error).message))
      return undefined
    }
  }

  private async ask (connection: EndpointConnection): Promise<Done> {
    this.connection = connection
    return await new Promise<Done>(resolve => {
      connection.run(this.req.sql, {
        head: columns => { if (!this.isOver) this.sink.head(columns) },
        row: row => this.takeRow(row),
        ok: packet => { this.succeed(connection, packet).then(resolve) },
        end: status => {
          this.flush()
          this.release(connection, (status & IN_TRANSACTION) !== 0)
          resolve(create(DoneSchema, { id: this.req.id, outcome: DoneOutcome.DONE, status }))
        },
        error: (code, message) => {
          this.flush()
          this.release(connection, this.isInTransaction && code !== ER_READ_ONLY)
          resolve(this.failure(code, message))
        },
        lost: err => {
          this.release(connection, false)
          resolve(refusal(this.req.id, this.isInTransaction && this.req.access !== RunAccess.COMMIT ? 'lostTransaction' : 'lost', err.message))
        }
      })
    })
  }

  private takeRow (row: Buffer): void {
    if (this.isOver) return
    if (this.rows.length === 0) setImmediate(() => this.flush())
    this.rows.push(row)
    this.creditLeft -= row.length
    if (this.creditLeft <= 0) this.connection?.pause()
  }

  private flush (): void {
    if (this.rows.length === 0 || this.isOver) return
    const { rows } = this
    this.rows = []
    this.sink.rows(rows)
  }

  /**
   * A write is acknowledged only when a second server has it in the same term.
   * Against a primary that was replaced and doesn't know: it still answers OK,
   * but a majority is sealed, so nobody confirms to it.
   */
  private async succeed (connection: EndpointConnection, packet: OkPacket): Promise<Done> {
    const isOpen = (packet.status & IN_TRANSACTION) !== 0
    this.release(connection, isOpen)
    const done = create(DoneSchema, {
      id: this.req.id,
      outcome: DoneOutcome.DONE,
      affected: packet.affected,
      insertId: packet.insertId,
      status: packet.status,
      term: packet.token?.term ?? 0,
      position: packet.token?.position ?? 0
    })
    if (packet.token === undefined) return done
    const { term, position } = packet.token
    const isConfirmed = await this.context.confirm(term, position, this.req.deadlineMs)
    return isConfirmed ? done : refusal(this.req.id, 'unconfirmed')
  }

  private failure (code: number, message: string): Done {
    if (code === ER_READ_ONLY && !this.isInTransaction) return refusal(this.req.id, 'replaced')
    return create(DoneSchema, { id: this.req.id, outcome: DoneOutcome.FAILED, code, message })
  }

  /** Gives the connection back, or keeps it pinned while its transaction is open. */
  private release (connection: EndpointConnection, staysOpen: boolean): void {
    this.connection = undefined
    if (this.isInTransaction && staysOpen && !connection.isLost) return
    if (this.isInTransaction) this.context.slot.unpin(this.transaction)
    this.context.slot.giveBack(connection, !connection.isLost)
  }

  private closeConnection (): void {
    const { connection } = this
    if (connection === undefined) return
    connection.destroy()
    this.release(connection, false)
  }

  private finish (done: Done): void {
    if (this.isOver) return
    this.flush()
    this.isOver = true
    this.sink.done(done)
  }
}
