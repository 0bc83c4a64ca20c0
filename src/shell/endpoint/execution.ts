/** Runs one request on a slot, as its `SlotRun` decides. */

import { create } from '@bufbuild/protobuf'
import { Done_Outcome as DoneOutcome, DoneSchema, type Run } from '../../gen/peer_pb.ts'
import type { TransactionId } from '../../core/id/transaction.ts'
import type { Counts } from '../../core/request/counts.ts'
import { SlotRun } from '../../core/request/slotrun.ts'
import type { RunAction } from '../../core/request/runaction.ts'
import type { RunEvent } from '../../core/request/runevent.ts'
import type { RunStep } from '../../core/request/runstep.ts'
import { refusal } from '../peer/answer.ts'
import type { SlotPort } from '../peer/port.ts'
import type { EndpointConnection } from './connection.ts'
import type { ExecutionContext } from './executioncontext.ts'
import { LedgerEntry } from './ledger.ts'
import { SlotRefusal } from './refusal.ts'
import { runSpecOf } from './runspecof.ts'

type Sink = Parameters<SlotPort['run']>[1]

const IN_TRANSACTION = 1
const NONE: Counts = { affected: 0, insertId: 0 }
const RESET_MS = 1000
/** How long an idle connection may take to show that it still works. */
const ANSWER_MS = 500
/** Bytes of rows that may be under way before the asker gives credit. */
const FIRST_CREDIT = 256 * 1024

export class Execution {
  private machine: SlotRun
  private readonly spec: ReturnType<typeof runSpecOf>
  private readonly entry: LedgerEntry | undefined
  private timer: NodeJS.Timeout | undefined
  /** Gives up the wait for a connection. */
  private giveUp: (() => void) | undefined
  private connection: EndpointConnection | undefined
  private creditLeft = FIRST_CREDIT
  private rows: Buffer[] = []
  private status = 0
  private readonly began = performance.now()
  /** When to come back, where the slot has said it. */
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
    this.machine = SlotRun.create(spec)
    this.entry = isKeyed ? LedgerEntry.of({ caller: req.caller, key: req.once, sql: req.sql, access, at: Date.now() }) : undefined
  }

  static start (context: ExecutionContext, req: Run, sink: Sink): Execution {
    const it = new Execution(context, req, sink)
    it.timer = setTimeout(() => it.hear({ kind: 'deadline' }), req.deadlineMs)
    it.hear({ kind: 'start' })
    return it
  }

  credit (bytes: number): void {
    const wasEmpty = this.creditLeft <= 0
    this.creditLeft += bytes
    if (wasEmpty && this.creditLeft > 0) this.connection?.resume()
  }

  cancel (): void {
    this.rows = []
    this.hear({ kind: 'cancelled' })
  }

  private get transaction (): TransactionId {
    return this.req.transaction as TransactionId
  }

  private hear (event: RunEvent): void {
    const { run, actions } = this.machine.step(event)
    this.machine = run
    for (const action of actions) this.act(action)
    if (run.isOver) this.end()
  }

  private end (): void {
    clearTimeout(this.timer)
    const { giveUp } = this
    this.giveUp = undefined
    giveUp?.()
  }

  private act (action: RunAction): void {
    switch (action.kind) {
      case 'prove':
        this.context.proveCurrent(this.req.deadlineMs).then(holds => this.hear({ kind: 'proved', holds }))
        return
      case 'obtain':
        this.obtain()
        return
      case 'send': return this.send(action.step, action.counts)
      case 'keep': return this.keep()
      case 'giveBack': return this.giveBack(action.how)
      case 'confirm': {
        const { term, position } = action.token
        if (this.req.session !== 0) this.context.wrote(term, position, this.req.session)
        this.context.confirm(term, position, this.req.deadlineMs).then(holds => this.hear({ kind: 'confirmed', holds }))
        return
      }
      case 'done':
      case 'failed':
      case 'refuse': return this.finish(action)
    }
  }

  private async obtain (): Promise<void> {
    const taken = this.req.transaction === ''
      ? undefined
      : this.context.transactions.take(this.transaction, () => this.hear({ kind: 'released' }))
    if (taken === 'busy') return this.hear({ kind: 'unobtainable', reason: 'notSent', detail: 'another statement of the transaction runs' })
    if (taken !== undefined) return this.use(taken)
    const { access } = this.spec
    if (access === 'inside' || access === 'commit' || access === 'rollback') {
      return this.hear({ kind: 'unobtainable', reason: 'lostTransaction', detail: '' })
    }
    try {
      const connection = await this.borrow()
      this.use(connection)
    } catch (err) {
      if (err instanceof SlotRefusal) {
        this.retryAfterMs = err.retryAfterMs
        return this.hear({ kind: 'unobtainable', reason: err.reason, detail: '' })
      }
      this.hear({ kind: 'unobtainable', reason: 'unreachable', detail: (err as Error).message })
    }
  }

  /** A connection that answers; one that went silent is closed, and the next one tried. */
  private async borrow (): Promise<EndpointConnection> {
    const { slot } = this.context
    for (;;) {
      // The request may have ended while a silent connection was asked.
      if (this.machine.isOver) throw new Error('the request is over')
      const connection = await slot.borrow({
        class: this.req.class,
        caller: this.req.caller,
        deadlineMs: this.req.deadlineMs - (performance.now() - this.began),
        isTransaction: this.req.transaction !== ''
      }, giveUp => { this.giveUp = giveUp })
      if (!connection.isStale || await connection.answers(ANSWER_MS)) return connection
      slot.giveBack(connection, false)
    }
  }

  private use (connection: EndpointConnection): void {
    this.connection = connection
    this.hear({ kind: 'obtained' })
  }

  private send (step: RunStep, counts: Counts): void {
    const sql = step === 'statement' ? this.req.sql : this.entry!.sql(step, counts)
    const isRelayed = step === 'statement' && this.entry === undefined
    let hasRows = false
    const kept: Buffer[] = []
    this.connection!.run(sql, {
      head: columns => {
        hasRows = true
        if (isRelayed && !this.machine.isOver) this.sink.head(columns)
      },
      row: row => isRelayed ? this.takeRow(row) : kept.push(row),
      ok: ({ affected, insertId, status, token }) => {
        this.status = status
        this.hear({ kind: 'answered', counts: { affected, insertId }, isOpen: isOpen(status), hasRows, token })
      },
      end: status => {
        this.status = status
        if (step === 'lookup') return this.hear({ kind: 'found', row: this.entry!.row(kept) })
        this.hear({ kind: 'answered', counts: NONE, isOpen: isOpen(status), hasRows, token: undefined })
      },
      error: (code, message) => this.hear({ kind: 'refused', code, message }),
      lost: err => this.hear({ kind: 'lost', detail: err.message })
    })
  }

  private takeRow (row: Buffer): void {
    if (this.machine.isOver) return
    if (this.rows.length === 0) setImmediate(() => this.flush())
    this.rows.push(row)
    this.creditLeft -= row.length
    if (this.creditLeft <= 0) this.connection?.pause()
  }

  private flush (): void {
    if (this.rows.length === 0) return
    const { rows } = this
    this.rows = []
    this.sink.rows(rows)
  }

  private keep (): void {
    const { connection } = this
    this.connection = undefined
    this.context.transactions.keep(this.transaction, connection!)
  }

  private giveBack (how: 'clean' | 'reset' | 'close'): void {
    const { connection } = this
    const { slot, transactions } = this.context
    if (connection === undefined) return
    this.connection = undefined
    if (this.req.transaction !== '') transactions.end(this.transaction)
    if (how === 'reset') {
      connection.reset(RESET_MS).then(isReset => slot.giveBack(connection, isReset))
      return
    }
    slot.giveBack(connection, how === 'clean')
  }

  private finish (action: Extract<RunAction, { kind: 'done' | 'failed' | 'refuse' }>): void {
    this.flush()
    const { id } = this.req
    switch (action.kind) {
      case 'done': {
        const { counts, token } = action
        if (this.entry !== undefined) this.context.cleaner.used()
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
