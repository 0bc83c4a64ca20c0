/** Executes one request on a slot: carries out the actions of its `SlotRun` state machine. */

import { setImmediate as readPending } from 'node:timers/promises'
import { create } from '@bufbuild/protobuf'
import { Done_Outcome as DoneOutcome, DoneSchema, type Run } from '../../gen/peer_pb.ts'
import type { TransactionId } from '../../core/id/transaction.ts'
import type { Counts } from '../../core/request/counts.ts'
import { SlotRun } from '../../core/request/slotrun.ts'
import type { RunAction } from '../../core/request/runaction.ts'
import type { RunEvent } from '../../core/request/runevent.ts'
import type { RunStep } from '../../core/request/runstep.ts'
import { refusal } from '../peer/refusal.ts'
import type { SlotPort } from '../peer/slotport.ts'
import type { EndpointConnection } from './connection.ts'
import type { ExecutionContext } from './executioncontext.ts'
import { LedgerEntry } from './ledger.ts'
import { SlotRefusal } from './refusal.ts'
import { runSpecOf } from './runspecof.ts'

type Sink = Parameters<SlotPort['run']>[1]

const IN_TRANSACTION = 1
const NO_COUNTS: Counts = { affected: 0, insertId: 0 }
const RESET_TIMEOUT_MS = 1000
const PING_TIMEOUT_MS = 500
/** Bytes of rows that may be sent before the frontend gives credit. */
const INITIAL_CREDIT_BYTES = 256 * 1024

/** One request from its start to its outcome, with flow control of its rows by credit. */
export class Execution {
  private slotRun: SlotRun
  private readonly spec: ReturnType<typeof runSpecOf>
  private readonly ledgerEntry: LedgerEntry | undefined
  private timer: NodeJS.Timeout | undefined
  /** Cancels the wait for a connection. */
  private cancelWait: (() => void) | undefined
  private connection: EndpointConnection | undefined
  private remainingCreditBytes = INITIAL_CREDIT_BYTES
  private rows: Buffer[] = []
  private status = 0
  private readonly startedAt = performance.now()
  /** The retry delay that the slot's refusal named, else 0. */
  private retryAfterMs = 0

  private constructor (
    private readonly context: ExecutionContext,
    private readonly req: Run,
    private readonly sink: Sink
  ) {
    const spec = runSpecOf(req)
    const { access } = spec
    this.spec = spec
    const isKeyed = access === 'settle' || (spec.hasIdempotencyKey && (access === 'write' || access === 'begin'))
    this.slotRun = SlotRun.create(spec)
    this.ledgerEntry = isKeyed ? LedgerEntry.of({ caller: req.caller, key: req.once, sql: req.sql, access, at: Date.now() }) : undefined
  }

  static start (context: ExecutionContext, req: Run, sink: Sink): Execution {
    const it = new Execution(context, req, sink)
    it.timer = setTimeout(() => it.expire(), req.deadlineMs)
    it.handle({ kind: 'start' })
    return it
  }

  /** Lets so many more bytes of rows be sent. */
  credit (bytes: number): void {
    const wasEmpty = this.remainingCreditBytes <= 0
    this.remainingCreditBytes += bytes
    if (wasEmpty && this.remainingCreditBytes > 0) this.connection?.resume()
  }

  /** Abandons the request; the sink isn't called any more. */
  cancel (): void {
    this.rows = []
    this.handle({ kind: 'cancelled' })
  }

  private get transaction (): TransactionId {
    return this.req.transaction as TransactionId
  }

  private handle (event: RunEvent): void {
    const { run, actions } = this.slotRun.step(event)
    this.slotRun = run
    for (const action of actions) this.perform(action)
    if (run.isOver) this.end()
  }

  /** Timers run before sockets are read, so the answer may have arrived that this process was too busy to read. */
  private async expire (): Promise<void> {
    await readPending()
    if (!this.slotRun.isOver) this.handle({ kind: 'deadline' })
  }

  private end (): void {
    clearTimeout(this.timer)
    const { cancelWait } = this
    this.cancelWait = undefined
    cancelWait?.()
  }

  private perform (action: RunAction): void {
    switch (action.kind) {
      case 'prove':
        this.context.proveCurrent(this.req.deadlineMs).then(holds => this.handle({ kind: 'proved', holds }))
        return
      case 'obtain':
        this.obtainConnection()
        return
      case 'send': return this.send(action.step, action.counts)
      case 'keep': return this.keepConnection()
      case 'giveBack': return this.returnConnection(action.how)
      case 'confirm': {
        const { term, position } = action.token
        if (this.req.session !== 0) this.context.wrote(term, position, this.req.session)
        this.context.confirm(term, position, this.req.deadlineMs).then(holds => this.handle({ kind: 'confirmed', holds }))
        return
      }
      case 'done':
      case 'failed':
      case 'refuse': return this.finish(action)
    }
  }

  private async obtainConnection (): Promise<void> {
    const pinned = this.req.transaction === ''
      ? undefined
      : this.context.transactions.take(this.transaction, () => this.handle({ kind: 'released' }))
    if (pinned === 'busy') return this.handle({ kind: 'unobtainable', reason: 'notSent', detail: 'another statement of the transaction runs' })
    if (pinned !== undefined) return this.useConnection(pinned)
    const { access } = this.spec
    if (access === 'inside' || access === 'commit' || access === 'rollback') {
      return this.handle({ kind: 'unobtainable', reason: 'lostTransaction', detail: '' })
    }
    try {
      const connection = await this.borrow()
      this.useConnection(connection)
    } catch (err) {
      if (err instanceof SlotRefusal) {
        this.retryAfterMs = err.retryAfterMs
        return this.handle({ kind: 'unobtainable', reason: err.reason, detail: '' })
      }
      this.handle({ kind: 'unobtainable', reason: 'unreachable', detail: (err as Error).message })
    }
  }

  /** Borrows a connection. A stale one is pinged first; if it doesn't answer, it's closed and the next one is tried. */
  private async borrow (): Promise<EndpointConnection> {
    const { slot } = this.context
    for (;;) {
      // The request may have ended during the ping of a stale connection.
      if (this.slotRun.isOver) throw new Error('the request is over')
      const connection = await slot.borrow({
        class: this.req.class,
        caller: this.req.caller,
        deadlineMs: this.req.deadlineMs - (performance.now() - this.startedAt),
        isTransaction: this.req.transaction !== ''
      }, cancel => { this.cancelWait = cancel })
      if (!connection.isStale || await connection.isResponsive(PING_TIMEOUT_MS)) return connection
      slot.returnConnection(connection, false)
    }
  }

  private useConnection (connection: EndpointConnection): void {
    this.connection = connection
    this.handle({ kind: 'obtained' })
  }

  private send (step: RunStep, counts: Counts): void {
    const sql = step === 'statement' ? this.req.sql : this.ledgerEntry!.sql(step, counts)
    const isRelayed = step === 'statement' && this.ledgerEntry === undefined
    let hasRows = false
    const kept: Buffer[] = []
    this.connection!.run(sql, {
      head: columns => {
        hasRows = true
        if (isRelayed && !this.slotRun.isOver) this.sink.head(columns)
      },
      row: row => isRelayed ? this.bufferRow(row) : kept.push(row),
      ok: ({ affected, insertId, status, token }) => {
        this.status = status
        this.handle({ kind: 'answered', counts: { affected, insertId }, isOpen: isOpen(status), hasRows, token })
      },
      end: status => {
        this.status = status
        if (step === 'lookup') return this.handle({ kind: 'found', row: this.ledgerEntry!.parseRow(kept) })
        this.handle({ kind: 'answered', counts: NO_COUNTS, isOpen: isOpen(status), hasRows, token: undefined })
      },
      error: (code, message) => this.handle({ kind: 'refused', code, message }),
      connectionLost: err => this.handle({ kind: 'lost', detail: err.message })
    })
  }

  private bufferRow (row: Buffer): void {
    if (this.slotRun.isOver) return
    if (this.rows.length === 0) setImmediate(() => this.flush())
    this.rows.push(row)
    this.remainingCreditBytes -= row.length
    if (this.remainingCreditBytes <= 0) this.connection?.pause()
  }

  private flush (): void {
    if (this.rows.length === 0) return
    const { rows } = this
    this.rows = []
    this.sink.rows(rows)
  }

  private keepConnection (): void {
    const { connection } = this
    this.connection = undefined
    this.context.transactions.keep(this.transaction, connection!)
  }

  private returnConnection (how: 'clean' | 'reset' | 'close'): void {
    const { connection } = this
    const { slot, transactions } = this.context
    if (connection === undefined) return
    this.connection = undefined
    if (this.req.transaction !== '') transactions.end(this.transaction)
    if (how === 'reset') {
      connection.reset(RESET_TIMEOUT_MS).then(isReset => slot.returnConnection(connection, isReset))
      return
    }
    slot.returnConnection(connection, how === 'clean')
  }

  private finish (action: Extract<RunAction, { kind: 'done' | 'failed' | 'refuse' }>): void {
    this.flush()
    const { id } = this.req
    switch (action.kind) {
      case 'done': {
        const { counts, token } = action
        if (this.ledgerEntry !== undefined) this.context.cleaner.cleanIfDue()
        return this.sink.done(create(DoneSchema, {
          id,
          outcome: DoneOutcome.DONE,
          ...counts,
          status: this.status,
          reason: action.isReplay === true ? 'alreadyDone' : '',
          term: token?.term ?? 0,
          position: token?.position ?? 0
        }))
      }
      case 'failed': return this.sink.done(create(DoneSchema, { id, outcome: DoneOutcome.FAILED, code: action.code, message: action.message }))
      case 'refuse': return this.sink.done(refusal(id, action.reason, action.detail, this.retryAfterMs))
    }
  }
}

function isOpen (status: number): boolean {
  return (status & IN_TRANSACTION) !== 0
}
