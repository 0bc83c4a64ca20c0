/** One caller's session: its values, its transaction, and the way of each statement to an endpoint. */

import type { EndpointId } from '../../core/id/endpoint.ts'
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
import type { Fault } from '../../core/statement/fault.ts'
import type { Reply } from '../../core/statement/reply.ts'
import type { Statement } from '../../core/statement/statement.ts'
import { Token } from '../../core/token.ts'
import { Attempt } from './attempt.ts'
import { clock } from './clock.ts'
import type { PoolContext } from './context.ts'
import type { PoolGroup } from './group.ts'
import { nextTarget } from './target.ts'
import { Transaction } from './transaction.ts'

/** Tries of one operation at endpoints: each of three, and the primary once more. */
const MOST_TRIES = 4
/** The time to come back while nobody leads: about a round of finding the new primary. */
const LEADERLESS_MS = 500

interface Refused {
  readonly fault: Fault
  readonly retryAfterMs: number
}

/** How an operation is tried, from endpoint to endpoint. */
interface Tries {
  readonly route: Route
  /** Whether only the primary may do it. */
  readonly mustLead: boolean
  readonly deadline: Instant
  readonly what: Work['what']
  /** Whether it begins a caller's transaction. */
  readonly isInside: boolean
  readonly run: (attempt: Attempt, target: Target) => Promise<Answer | Ending>
}

type Run = { readonly answer: Answer, readonly attempt: Attempt } | Refused

export class Session {
  private readonly values = Values.empty()
  /** The session's newest commit. */
  private own = Token.zero
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
    const mustLead = work.what === 'write' || route.freshness.kind !== 'age'
    const run = async (attempt: Attempt, target: Target) => {
      const answer = await this.runOn(attempt, target, work, deadline)
      attempt.end()
      return answer
    }
    return await this.tryAll({ route, mustLead, deadline, what: work.what, isInside: false, run })
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

  /** The first statement brings the connection: until it ran, another endpoint may be tried. */
  private async runFirst (work: Work, transaction: Transaction, deadline: Instant): Promise<Run> {
    const { route, isReadOnly } = transaction
    const mustLead = !isReadOnly || route.freshness.kind !== 'age'
    const run = async (attempt: Attempt, target: Target) => {
      const begun = await this.beginOn(attempt, target, work, deadline)
      const answer = typeof begun === 'string' ? begun : await attempt.ask([work.command()], 0, left(deadline), target.mustLead)
      if (typeof answer === 'string') attempt.end()
      return answer
    }
    return await this.tryAll({ route, mustLead, deadline, what: work.what, isInside: true, run })
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
    this.tried({ endpoint: attempt.endpoint, after: undefined }, typeof answer === 'string' ? answer : 'done', began)
    if (typeof answer !== 'string') return { answer, attempt }
    const verdict = verdictOf(answer, { what: work.what, isInside: true, isFirst: false, hasWritten })
    return { fault: verdict.kind === 'refuse' ? verdict.fault : 'aborted', retryAfterMs: 0 }
  }

  /** Tries endpoint after endpoint until one does it, none is left, or it may have run. */
  private async tryAll (tries: Tries): Promise<Run> {
    const { route, mustLead, deadline } = tries
    const group = this.ctx.group(route.group)
    if (group === undefined) return { fault: 'busy', retryAfterMs: LEADERLESS_MS }
    const tried = new Set<EndpointId>()
    let last: Refused = { fault: 'busy', retryAfterMs: LEADERLESS_MS }
    for (let i = 0; i < MOST_TRIES && left(deadline) > 0; i++) {
      const target = await nextTarget(group, { mustLead, freshness: route.freshness, own: this.own, tried })
      if (target === undefined) return last
      const began = clock.now()
      const attempt = await this.borrow(group, target, tries)
      if (!(attempt instanceof Attempt)) {
        last = attempt
        this.tried(target, 'no connection', began)
        if (target.mustLead) return last
        tried.add(target.endpoint)
        continue
      }
      const answer = await tries.run(attempt, target)
      this.tried(target, typeof answer === 'string' ? answer : 'done', began)
      if (typeof answer !== 'string') {
        this.ctx.budget.succeeded()
        return { answer, attempt }
      }
      tried.add(target.endpoint)
      const verdict = verdictOf(answer, { what: tries.what, isInside: tries.isInside, isFirst: true, hasWritten: false })
      if (verdict.kind === 'refuse') return { fault: verdict.fault, retryAfterMs: 0 }
      last = { fault: faultOf(answer), retryAfterMs: LEADERLESS_MS }
      // Being sent on by an endpoint that knows better costs no work there, so it takes nothing of the budget.
      const isFree = answer === 'behind' || answer === 'notPrimary'
      if (!isFree && !this.ctx.budget.mayRetry(clock.now())) return last
    }
    return last
  }

  private tried ({ endpoint, after }: Pick<Target, 'endpoint' | 'after'>, ending: string, began: Instant): void {
    const ms = clock.now() - began
    this.trail.add({ endpoint, ending, after, ms })
    this.ctx.metrics.tries.inc({ ending })
    this.ctx.metrics.trySeconds.observe({ dependency: 'endpoint' }, ms / 1000)
  }

  private async borrow (group: PoolGroup, target: Target, { route, deadline, isInside }: Tries): Promise<Attempt | Refused> {
    const lender = group.lender(target.endpoint)
    if (lender === undefined) return { fault: 'busy', retryAfterMs: LEADERLESS_MS }
    const wish = { rank: route.rank, caller: this.database, leftMs: left(deadline), isTransaction: isInside, values: this.values }
    const borrowed = await lender.borrow(wish)
    if (borrowed.isOk()) return Attempt.on(group, lender, borrowed.value)
    return { fault: 'busy', retryAfterMs: borrowed.error.retryAfterMs }
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

  private committed ({ position }: Answer): void {
    if (position !== undefined) this.own = this.own.max(position)
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

  /** One line for a statement that wasn't done or took more than one try, and for a sample of the others: what was decided on which knowledge. */
  private explain (id: string, kind: Statement['kind'] | 'none', reply: Reply): void {
    const { ctx, trail, database } = this
    const ms = clock.now() - trail.since
    const outcome = reply.kind === 'done' ? 'done' : reply.fault
    ctx.metrics.statements.inc({ database, kind, outcome })
    if (trail.count > 0) ctx.metrics.statementSeconds.observe({ kind }, ms / 1000)
    const isPlain = outcome === 'done' && trail.count < 2
    if (isPlain && !ctx.lines.isSampled(id)) return
    const { isGranted, dropped } = ctx.lines.take(clock.now())
    if (!isGranted) return ctx.metrics.linesDropped.inc()
    if (dropped > 0) ctx.log.write('linesDropped', { dropped })
    ctx.log.write(outcome === 'done' ? 'statementDone' : 'statementRefused', { id, database, kind, outcome, ms: Math.round(ms), ...this.knowledge })
  }

  /** What the decisions on the statement rested on. */
  private get knowledge (): Readonly<Record<string, string | number>> {
    const { ctx, trail, transaction, own, retryAfterMs } = this
    const config = ctx.config()
    const route = transaction?.route ?? config.route(this.database)
    const group = route === undefined ? undefined : ctx.group(route.group)
    const { freshness } = route ?? {}
    return {
      group: route?.group ?? 'none',
      freshness: freshness?.kind === 'age' ? `${freshness.ms} ms` : freshness?.kind ?? 'none',
      tries: trail.toString(),
      transaction: transaction?.id ?? 'none',
      own: own.toString(),
      leader: group?.leader ?? 'none',
      leaderlessMs: Math.round(group?.leaderlessMs() ?? 0),
      markAgeMs: Math.round(group?.markAgeMs() ?? -1),
      term: group?.term ?? 0,
      config: config.version,
      retryAfterMs: Math.ceil(retryAfterMs)
    }
  }

  /** A transaction that nobody goes on with holds a connection that others wait for. */
  private watchIdle (): void {
    this.idleTimer = setTimeout(() => this.abort(), this.ctx.config().idleTransactionMs)
    this.idleTimer.unref()
  }
}

const DONE: Reply = { kind: 'done', rows: '', proof: undefined }

function left (deadline: Instant): number {
  return Math.max(0, deadline - clock.now())
}

/** How an ending that proves "not run" is told when no endpoint is left. */
function faultOf (ending: Ending): Fault {
  return ending === 'broken' || ending === 'outOfTime' || ending === 'unknownStatement' ? 'aborted' : ending
}
