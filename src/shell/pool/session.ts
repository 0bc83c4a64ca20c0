/** One caller's session: its values, its transaction, and the way of each statement to an endpoint. */

import type { Instant } from '../../core/id/instant.ts'
import type { Ending } from '../../core/pool/ending.ts'
import { remedyOf } from '../../core/pool/remedy.ts'
import type { Route } from '../../core/pool/route.ts'
import type { Target } from '../../core/pool/target.ts'
import { Trail } from '../../core/pool/trail.ts'
import { verdictOf } from '../../core/pool/verdict.ts'
import { Work } from '../../core/pool/work.ts'
import { Values } from '../../core/session/values.ts'
import type { Answer } from '../../core/statement/answer.ts'
import type { Reply } from '../../core/statement/reply.ts'
import type { Statement } from '../../core/statement/statement.ts'
import { Token } from '../../core/token.ts'
import { Attempt } from './attempt.ts'
import { clock } from './clock.ts'
import type { PoolContext } from './context.ts'
import { explain } from './explanation.ts'
import { left } from './left.ts'
import { noteTry } from './notetry.ts'
import type { Refused } from './refused.ts'
import type { Run } from './run.ts'
import type { Tries } from './tries.ts'
import { tryAll } from './tryall.ts'
import { Transaction } from './transaction.ts'

export class Session {
  private readonly values = Values.empty()
  /** The session's newest commit. */
  private own = Token.zero
  private isOwnUnknown = false
  private transaction: Transaction | undefined
  private idleTimer: NodeJS.Timeout | undefined
  private isRunning = false
  private afterRun: (() => void) | undefined
  /** What was tried for the statement that runs. */
  private trail = Trail.begin(clock.now())
  private retryAfterMs = 0

  private constructor (private readonly ctx: PoolContext, private readonly database: string) {}

  /** Undefined when there is no such database. */
  static create (ctx: PoolContext, database: string): Session | undefined {
    return ctx.config().route(database) === undefined ? undefined : new Session(ctx, database)
  }

  /** As the caller sees it. */
  get transactionState (): 'none' | 'open' | 'failed' {
    return this.transaction === undefined ? 'none' : this.transaction.state === 'failed' ? 'failed' : 'open'
  }

  /** One statement at a time; resolves always. */
  async run (id: string, statement: Statement): Promise<Reply> {
    clearTimeout(this.idleTimer)
    this.isRunning = true
    this.trail = Trail.begin(clock.now())
    const reply = await this.answer(id, statement)
    this.isRunning = false
    this.explain(id, statement.kind, reply)
    this.afterRun?.()
    this.afterRun = undefined
    if (this.transaction?.attempt !== undefined) this.watchIdle()
    return reply
  }

  /** Refuses what isn't a statement. */
  reject (id: string): Reply {
    this.trail = Trail.begin(clock.now())
    const reply = this.failInside({ fault: 'malformed', retryAfterMs: 0 })
    this.explain(id, 'none', reply)
    return reply
  }

  /**
   * Rolls an open transaction back, and says so to its next statement. For a
   * process that leaves and for a caller that left its transaction idle. A
   * statement that runs ends first.
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

  /** The caller is gone. What it hasn't asked to commit is rolled back, after the statement that runs. */
  end (): void {
    if (this.isRunning) {
      this.afterRun = () => this.end()
      return
    }
    this.close()
  }

  private async answer (id: string, statement: Statement): Promise<Reply> {
    const { transaction } = this
    if (statement.kind === 'rollback') return this.rollBack()
    if (transaction?.state === 'aborted') {
      transaction.fail()
      return this.refuse({ fault: 'aborted', retryAfterMs: 0 })
    }
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

  /** Ending a failed transaction rolls it back; a commit must not look like one that was done. */
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
    const work = Work.of(id, statement, this.values)
    if (work === undefined) return this.failInside({ fault: 'unknownStatement', retryAfterMs: 0 })
    if (this.transaction !== undefined) return await this.sendInside(work, this.transaction)
    if (work.what === 'commit') return this.refuse({ fault: 'malformed', retryAfterMs: 0 })
    const route = this.ctx.config().route(this.database)
    if (route === undefined) return this.unknownDatabase()
    const run = await this.runSingle(work, route)
    if (!('answer' in run)) return this.refuse(run)
    if (work.what === 'write') this.committed(run.answer)
    return this.done(run.answer)
  }

  private async runSingle (work: Work, route: Route): Promise<Run> {
    const deadline = clock.now() + route.statementMs as Instant
    const mustLead = work.what === 'write' || this.readsAtPrimary(route)
    const run = async (attempt: Attempt, target: Target) => {
      const answer = await this.runOn(attempt, target, work, deadline)
      attempt.end()
      return answer
    }
    return await tryAll(this.ctx, { ...this.common(route, work, deadline), mustLead, isInside: false, run })
  }

  private common (route: Route, work: Work, deadline: Instant): Pick<Tries, 'route' | 'database' | 'what' | 'deadline' | 'own' | 'values' | 'trail'> {
    const { database, own, values, trail } = this
    return { route, database, what: work.what, deadline, own, values, trail }
  }

  private readsAtPrimary ({ freshness }: Route): boolean {
    return freshness.kind !== 'age' || this.isOwnUnknown
  }

  /** A read that only the primary may serve runs inside of a transaction of our own, which an endpoint that doesn't lead any more refuses. */
  private async runOn (attempt: Attempt, target: Target, work: Work, deadline: Instant): Promise<Answer | Ending> {
    const prelude = work.preludeOn(attempt.link.values, this.values)
    const isRead = work.what === 'read'
    if (!isRead || !target.mustLead) {
      return await attempt.ask([...prelude, work.command(target.after)], prelude.length, left(deadline), !isRead)
    }
    const begun = await attempt.ask([...prelude, { kind: 'begin', isReadOnly: false }], prelude.length, left(deadline), true)
    if (typeof begun === 'string') return begun
    return await attempt.ask([work.command(), { kind: 'rollback' }], 0, left(deadline), true)
  }

  private async sendInside (work: Work, transaction: Transaction): Promise<Reply> {
    const { route } = transaction
    const deadline = clock.now() + route.statementMs as Instant
    const run = transaction.attempt === undefined
      ? await this.runFirst(work, transaction, deadline)
      : await this.runNext(work, transaction, transaction.attempt, deadline)
    if (!('answer' in run)) return this.failInside(run, work.what === 'commit')
    transaction.ran(run.attempt, work.what)
    if (work.what === 'commit') this.endCommitted(transaction, run.answer)
    return this.done(run.answer)
  }

  /**
   * The first statement brings the connection: until it ran, another endpoint may
   * be tried. A commit of nothing proves no lead, since an endpoint that lost it takes that too.
   */
  private async runFirst (work: Work, transaction: Transaction, deadline: Instant): Promise<Run> {
    const { route, isReadOnly } = transaction
    const mustLead = !isReadOnly || this.readsAtPrimary(route)
    const run = async (attempt: Attempt, target: Target) => {
      const begun = await this.beginOn(attempt, target, work, deadline)
      const answer = typeof begun === 'string' ? begun : await attempt.ask([work.command()], 0, left(deadline), target.mustLead && work.what !== 'commit')
      if (typeof answer === 'string') attempt.end()
      return answer
    }
    return await tryAll(this.ctx, { ...this.common(route, work, deadline), mustLead, isInside: true, run })
  }

  /** A statement never goes before the answer to its BEGIN: were that refused, it would run outside of any transaction. */
  private async beginOn (attempt: Attempt, target: Target, work: Work, deadline: Instant): Promise<Answer | Ending> {
    const prelude = work.preludeOn(attempt.link.values, this.values)
    const { mustLead, after } = target
    return await attempt.ask([...prelude, { kind: 'begin', isReadOnly: !mustLead, after }], prelude.length, left(deadline), mustLead)
  }

  private async runNext (work: Work, transaction: Transaction, attempt: Attempt, deadline: Instant): Promise<Run> {
    const prelude = work.preludeOn(attempt.link.values, this.values)
    const { hasWritten } = transaction
    const isLead = transaction.leads && (work.what !== 'commit' || hasWritten)
    const began = clock.now()
    const answer = await attempt.ask([...prelude, work.command()], prelude.length, left(deadline), isLead)
    noteTry(this.ctx, this.trail, { endpoint: attempt.endpoint, after: undefined, ending: typeof answer === 'string' ? answer : 'done', ms: clock.now() - began })
    if (typeof answer !== 'string') return { answer, attempt }
    const verdict = verdictOf(answer, { what: work.what, isInside: true, isFirst: false, hasWritten })
    return { fault: verdict.kind === 'refuse' ? verdict.fault : 'aborted', retryAfterMs: 0 }
  }

  private close (): void {
    clearTimeout(this.idleTimer)
    this.transaction?.release()
    this.transaction = undefined
  }

  private endCommitted (transaction: Transaction, answer: Answer): void {
    if (transaction.hasWritten) this.committed(answer)
    transaction.release()
    this.transaction = undefined
  }

  /** Without a position of its own commit a session can only read at the primary. */
  private committed ({ position }: Answer): void {
    if (position === undefined) this.isOwnUnknown = true
    else this.own = this.own.max(position)
  }

  /** Refuses a statement; inside of a transaction that fails as a whole, and a commit ends it. */
  private failInside (refused: Refused, isCommit = false): Reply {
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

  private refuse ({ fault, retryAfterMs }: Refused): Reply {
    this.retryAfterMs = retryAfterMs
    return { kind: 'refused', fault, message: remedyOf(fault, retryAfterMs) }
  }

  private explain (id: string, kind: Statement['kind'] | 'none', reply: Reply): void {
    const { ctx, database, trail, transaction, own, retryAfterMs } = this
    explain(ctx, { id, kind, database, reply, trail, transaction, own, retryAfterMs })
  }

  /** A transaction that nobody goes on with holds a connection that others wait for. */
  private watchIdle (): void {
    this.idleTimer = setTimeout(() => this.abort(), this.ctx.config().idleTransactionMs)
    this.idleTimer.unref()
  }
}

const DONE: Reply = { kind: 'done', rows: '', proof: undefined }
