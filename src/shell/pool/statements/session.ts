/** One caller's session: its session values, its transaction, and the dispatch of its statements. */

import { randomBytes } from 'node:crypto'
import type { Cause } from '../../../core/pool/statements/cause.ts'
import { remedyOf } from '../../../core/pool/statements/remedy.ts'
import { TryHistory } from '../../../core/pool/statements/tryhistory.ts'
import { EndpointStatement } from '../../../core/pool/statements/endpointstatement.ts'
import type { KeyDigest } from '../../../core/pool/access/keydigest.ts'
import { SessionState } from '../../../core/session/sessionstate.ts'
import type { Answer } from '../../../core/statement/answer.ts'
import type { Reply } from '../../../core/statement/reply.ts'
import type { Statement } from '../../../core/statement/statement.ts'
import { clock } from '../clock.ts'
import type { PoolContext } from '../context.ts'
import { explain } from './explanation.ts'
import type { Refusal } from './refusal.ts'
import { StatementRunner } from './statementrunner.ts'
import { Transaction } from './transaction.ts'

interface Options {
  readonly database: string
  /** Name of the caller for log lines and audit records; never its key. */
  readonly caller: string
  /** Undefined for a caller without one. */
  readonly key: KeyDigest | undefined
  /** Whether other hosts may run its statements. */
  readonly mayForward: boolean
}

/** Enough for ids to be unique among all hosts. */
const ID_BYTES = 8

export class Session {
  private readonly id = randomBytes(ID_BYTES).toString('hex')
  private readonly values = SessionState.empty()
  private readonly runner: StatementRunner
  private transaction: Transaction | undefined
  private idleTimer: NodeJS.Timeout | undefined
  private isRunning = false
  private afterRun: (() => void) | undefined
  /** Tries of the current statement. */
  private trail = TryHistory.begin(clock.now())
  private retryAfterMs = 0
  private cause: Cause | undefined
  private readonly gone = new AbortController()

  private constructor (private readonly ctx: PoolContext, private readonly options: Options) {
    const { database, key, mayForward } = options
    this.runner = StatementRunner.create(ctx, database, this.values, key, mayForward, this.gone.signal)
  }

  /** Undefined if the database doesn't exist. */
  static create (ctx: PoolContext, options: Options): Session | undefined {
    return ctx.config().route(options.database) === undefined ? undefined : new Session(ctx, options)
  }

  private get database (): string {
    return this.options.database
  }

  /** State of the transaction as the caller sees it. */
  get transactionState (): 'none' | 'open' | 'failed' {
    return this.transaction === undefined ? 'none' : this.transaction.state === 'failed' ? 'failed' : 'open'
  }

  /** Runs one statement; only one at a time. Never rejects. */
  async run (id: string, statement: Statement): Promise<Reply> {
    clearTimeout(this.idleTimer)
    const { transaction } = this
    this.isRunning = true
    this.trail = TryHistory.begin(clock.now())
    this.retryAfterMs = 0
    this.cause = undefined
    const reply = await this.answer(id, statement)
    this.isRunning = false
    const recordedReply = this.recordReply(id, statement.kind, reply, transaction)
    this.afterRun?.()
    this.afterRun = undefined
    if (this.transaction?.attempt !== undefined) this.watchIdle()
    return recordedReply
  }

  /** Refuses input that isn't a statement. */
  reject (id: string): Reply {
    this.trail = TryHistory.begin(clock.now())
    const reply = this.failInside({ fault: 'malformed', retryAfterMs: 0 })
    return this.recordReply(id, 'none', reply)
  }

  /**
   * Rolls an open transaction back and reports that to its next statement. Used when the process leaves and when a transaction
   * stays idle. Waits for a running statement.
   */
  abort (): void {
    if (this.isRunning) {
      this.afterRun ??= () => this.abort()
      return
    }
    if (this.transaction?.state !== 'open') return
    this.transaction.abort()
    this.ctx.log.write('transactionAborted', { id: this.transaction.id, database: this.database })
  }

  /** Ends the session after its caller left: rolls back an open transaction after the running statement, which may be cancelled while it waits. */
  end (): void {
    this.gone.abort()
    if (this.isRunning) {
      this.afterRun = () => this.end()
      return
    }
    this.close()
  }

  private async answer (id: string, statement: Statement): Promise<Reply> {
    const { transaction } = this
    if (statement.kind === 'rollback') return this.rollBack()
    if (transaction?.state === 'aborted') return this.failInside({ fault: 'aborted', retryAfterMs: 0 }, statement.kind === 'commit')
    if (transaction?.state === 'failed') return this.answerFailed(statement)
    switch (statement.kind) {
      case 'begin': return this.begin(id, statement.isReadOnly)
      case 'set':
        this.values.set(statement.name, statement.value)
        return DONE
      case 'prepare':
        this.values.prepare(statement.name, statement.isWrite, statement.shape)
        return DONE
      case 'deallocate':
        return this.values.deallocate(statement.name) ? DONE : this.failInside({ fault: 'unknownStatement', retryAfterMs: 0 })
      default: return await this.send(id, statement)
    }
  }

  /** Ends a failed transaction with a rollback; a commit is refused, so that it doesn't look done. */
  private answerFailed (statement: Statement): Reply {
    if (statement.kind !== 'commit') return this.refuse({ fault: 'malformed', retryAfterMs: 0 })
    this.close()
    return this.refuse({ fault: 'aborted', retryAfterMs: 0 })
  }

  private begin (id: string, isReadOnly: boolean): Reply {
    if (this.transaction !== undefined) return this.failInside({ fault: 'malformed', retryAfterMs: 0 })
    const route = this.ctx.config().route(this.database)
    if (route === undefined) return this.unknownDatabase()
    this.transaction = Transaction.create(id, route, isReadOnly)
    return DONE
  }

  private rollBack (): Reply {
    this.close()
    return DONE
  }

  private async send (id: string, statement: Statement): Promise<Reply> {
    const work = EndpointStatement.of(id, statement, this.values)
    if (work === undefined) return this.failInside({ fault: 'unknownStatement', retryAfterMs: 0 })
    if (this.transaction !== undefined) return await this.sendInside(work, this.transaction)
    if (work.what === 'commit') return this.refuse({ fault: 'malformed', retryAfterMs: 0 })
    const route = this.ctx.config().route(this.database)
    if (route === undefined) return this.unknownDatabase()
    const run = await this.runner.runSingle(work, route, this.trail)
    if (!('answer' in run)) return this.refuse(run)
    if (work.what === 'write') this.runner.recordCommit(run.answer)
    return this.done(run.answer)
  }

  private async sendInside (work: EndpointStatement, transaction: Transaction): Promise<Reply> {
    const run = await this.runner.runInTransaction(work, transaction, this.trail)
    if (!('answer' in run)) return this.failInside(run, work.what === 'commit')
    transaction.recordRun(run.attempt, work.what)
    if (work.what === 'commit') this.endCommitted(transaction, run.answer)
    return this.done(run.answer)
  }

  private close (): void {
    clearTimeout(this.idleTimer)
    this.transaction?.release()
    this.transaction = undefined
  }

  private endCommitted (transaction: Transaction, answer: Answer): void {
    if (transaction.hasWritten) this.runner.recordCommit(answer)
    transaction.release()
    this.transaction = undefined
  }

  /** Refuses a statement. In a transaction this makes the whole transaction fail; a commit ends it. */
  private failInside (refused: Refusal, isCommit = false): Reply {
    if (isCommit) this.close()
    else this.transaction?.fail()
    return this.refuse(refused)
  }

  private unknownDatabase (): Reply {
    return { ...this.refuse({ fault: 'unknownDatabase', retryAfterMs: 0 }), isFinal: true } as Reply
  }

  private done ({ rows, proof }: Answer): Reply {
    return { kind: 'done', rows, proof }
  }

  private refuse ({ fault, retryAfterMs, cause }: Refusal): Reply {
    this.retryAfterMs = retryAfterMs
    this.cause = cause
    // The session ends when its key was revoked.
    return { kind: 'refused', fault, message: remedyOf(fault, retryAfterMs), isFinal: fault === 'unauthorised' }
  }

  /** Records the reply and adds the id of its audit record to a refusal. `transaction`: the one that was open before the statement. */
  private recordReply (id: string, kind: Statement['kind'] | 'none', reply: Reply, transaction = this.transaction): Reply {
    const { ctx, id: session, database, options: { caller }, trail, retryAfterMs, cause } = this
    const { newestCommit } = this.runner
    const record = explain(ctx, { id, session, caller, kind, database, reply, trail, transaction, newestCommit, retryAfterMs, cause })
    if (reply.kind === 'done' || record === undefined) return reply
    return { ...reply, message: `${reply.message} (request ${record})` }
  }

  /** Aborts the transaction after its idle timeout, since it holds a connection that others may wait for. */
  private watchIdle (): void {
    this.idleTimer = setTimeout(() => this.abort(), this.ctx.config().idleTransactionMs)
    this.idleTimer.unref()
  }
}

const DONE: Reply = { kind: 'done', rows: '', proof: undefined }
