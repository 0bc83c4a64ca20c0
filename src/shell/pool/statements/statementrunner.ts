/** Runs the statements of one session at endpoints, and keeps the position of the session's newest commit. */

import type { Instant } from '../../../core/id/instant.ts'
import type { Ending } from '../../../core/pool/statements/ending.ts'
import type { KeyDigest } from '../../../core/pool/access/keydigest.ts'
import type { Route } from '../../../core/pool/route.ts'
import type { Target } from '../../../core/pool/statements/target.ts'
import type { TryHistory } from '../../../core/pool/statements/tryhistory.ts'
import { verdictOf } from '../../../core/pool/statements/verdict.ts'
import type { EndpointStatement } from '../../../core/pool/statements/endpointstatement.ts'
import type { SessionState } from '../../../core/session/sessionstate.ts'
import type { Answer } from '../../../core/statement/answer.ts'
import { Token } from '../../../core/token.ts'
import type { Attempt } from '../connections/attempt.ts'
import { clock } from '../clock.ts'
import type { PoolContext } from '../context.ts'
import { left } from './left.ts'
import { recordTry } from './recordtry.ts'
import { isReceived } from './receipt.ts'
import type { Run } from './run.ts'
import type { Transaction } from './transaction.ts'
import type { Operation } from './operation.ts'
import { tryAll } from './tryall.ts'

export class StatementRunner {
  private newest = Token.zero
  private isNewestCommitUnknown = false

  private constructor (private readonly ctx: PoolContext, private readonly database: string, private readonly values: SessionState, private readonly key: KeyDigest | undefined, private readonly mayForward: boolean, private readonly gone: AbortSignal) {}

  /**
   * `values`: the session values, which may change later. `key`: the caller's key. `mayForward`: whether other hosts may run its
   * statements. `gone`: aborted once the caller has left.
   */
  static create (ctx: PoolContext, database: string, values: SessionState, key: KeyDigest | undefined, mayForward: boolean, gone: AbortSignal): StatementRunner {
    return new StatementRunner(ctx, database, values, key, mayForward, gone)
  }

  /** Position of the session's newest commit. */
  get newestCommit (): Token {
    return this.newest
  }

  /** Runs a statement outside of a transaction. */
  async runSingle (work: EndpointStatement, route: Route, trail: TryHistory): Promise<Run> {
    const deadline = clock.now() + route.statementTimeoutMs as Instant
    const mustLead = work.what === 'write' || this.readsAtPrimary(route)
    const run = async (attempt: Attempt, target: Target) => {
      const answer = await this.runOn(attempt, target, work, deadline)
      attempt.release()
      return work.what === 'write' ? await this.kept(attempt, answer, work, deadline, trail) : answer
    }
    return await tryAll(this.ctx, { ...this.common(route, work, deadline, trail), mustLead, isInTransaction: false, run })
  }

  private common (route: Route, work: EndpointStatement, deadline: Instant, trail: TryHistory): Pick<Operation, 'route' | 'database' | 'what' | 'deadline' | 'newestCommit' | 'values' | 'key' | 'mayForward' | 'gone' | 'trail'> {
    const { database, newestCommit, values, key, mayForward, gone } = this
    return { route, database, what: work.what, deadline, newestCommit, values, key, mayForward, gone, trail }
  }

  private readsAtPrimary ({ freshness }: Route): boolean {
    return freshness.kind !== 'age' || this.isNewestCommitUnknown
  }

  /** Runs a statement of a transaction on the transaction's connection; the first statement borrows the connection. */
  async runInTransaction (work: EndpointStatement, transaction: Transaction, trail: TryHistory): Promise<Run> {
    const { route, attempt } = transaction
    const deadline = clock.now() + route.statementTimeoutMs as Instant
    return attempt === undefined ? await this.runFirst(work, transaction, deadline, trail) : await this.runNext(work, transaction, attempt, deadline, trail)
  }

  /** Takes in the answer to a commit or a single write. Without a position, the session can only read at the primary from then on. */
  recordCommit ({ position }: Answer): void {
    if (position === undefined) this.isNewestCommitUnknown = true
    else this.newest = this.newest.max(position)
  }

  /** A read that only the primary may serve runs in a transaction of the proxy's own, which an endpoint that is no longer the primary refuses. */
  private async runOn (attempt: Attempt, target: Target, work: EndpointStatement, deadline: Instant): Promise<Answer | Ending> {
    const prelude = work.setupCommands(attempt.link.values, this.values)
    const isRead = work.what === 'read'
    if (!isRead || !target.mustLead) {
      return await attempt.ask([...prelude, work.command(target.after)], prelude.length, left(deadline), !isRead)
    }
    const begun = await attempt.ask([...prelude, { kind: 'begin', isReadOnly: false }], prelude.length, left(deadline), true)
    if (typeof begun === 'string') return begun
    return await attempt.ask([work.command(), { kind: 'rollback' }], 0, left(deadline), true)
  }

  /**
   * Runs the first statement of a transaction, for which other endpoints may be tried. An empty commit doesn't prove that the
   * endpoint is the primary, since a former primary accepts it too.
   */
  private async runFirst (work: EndpointStatement, transaction: Transaction, deadline: Instant, trail: TryHistory): Promise<Run> {
    const { route, isReadOnly } = transaction
    const mustLead = !isReadOnly || this.readsAtPrimary(route)
    const run = async (attempt: Attempt, target: Target) => {
      const begun = await this.beginOn(attempt, target, work, deadline)
      const answer = typeof begun === 'string' ? begun : await attempt.ask([work.command()], 0, left(deadline), target.mustLead && work.what !== 'commit')
      if (typeof answer === 'string') attempt.release()
      return answer
    }
    return await tryAll(this.ctx, { ...this.common(route, work, deadline, trail), mustLead, isInTransaction: true, run })
  }

  /** The statement is sent only after the answer to its BEGIN, since it would run outside of a transaction if that was refused. */
  private async beginOn (attempt: Attempt, target: Target, work: EndpointStatement, deadline: Instant): Promise<Answer | Ending> {
    const prelude = work.setupCommands(attempt.link.values, this.values)
    const { mustLead, after } = target
    return await attempt.ask([...prelude, { kind: 'begin', isReadOnly: !mustLead, after }], prelude.length, left(deadline), mustLead)
  }

  private async runNext (work: EndpointStatement, transaction: Transaction, attempt: Attempt, deadline: Instant, trail: TryHistory): Promise<Run> {
    const prelude = work.setupCommands(attempt.link.values, this.values)
    const { hasWritten } = transaction
    const isLead = transaction.requiresLeader && (work.what !== 'commit' || hasWritten)
    const began = clock.now()
    const answer = await attempt.ask([...prelude, work.command()], prelude.length, left(deadline), isLead)
    const isDone = typeof answer !== 'string'
    recordTry(this.ctx, trail, {
      endpoint: attempt.endpoint,
      what: work.what,
      isInTransaction: true,
      hasWritten,
      mustLead: isLead,
      ending: isDone ? 'done' : answer,
      after: undefined,
      position: isDone ? answer.position : undefined,
      ms: clock.now() - began
    })
    const kept = work.what === 'commit' && hasWritten ? await this.kept(attempt, answer, work, deadline, trail) : answer
    if (typeof kept !== 'string') return { answer: kept, attempt }
    const verdict = verdictOf(kept, { what: work.what, isInTransaction: true, isFirst: false, hasWritten })
    return { fault: verdict.kind === 'refuse' ? verdict.fault : 'aborted', retryAfterMs: 0 }
  }

  /** During a handover, a commit is acknowledged only once the successor has received it; otherwise its outcome is unknown. */
  private async kept (attempt: Attempt, answer: Answer | Ending, work: EndpointStatement, deadline: Instant, trail: TryHistory): Promise<Answer | Ending> {
    const successor = typeof answer === 'string' ? undefined : attempt.group.successorOf(attempt.endpoint, answer.position)
    if (typeof answer === 'string' || successor === undefined) return answer
    if (answer.position === undefined) return 'outOfTime'
    const { ctx, database, key } = this
    const began = clock.now()
    const team = ctx.config().holderOf(key)?.id
    const isKept = await isReceived({ group: attempt.group, successor, commit: answer.position, database, team, deadline })
    recordTry(ctx, trail, {
      endpoint: successor,
      what: work.what,
      isInTransaction: work.what === 'commit',
      hasWritten: true,
      mustLead: false,
      ending: isKept ? 'received' : 'not received',
      after: answer.position,
      position: undefined,
      ms: clock.now() - began
    })
    return isKept ? answer : 'outOfTime'
  }
}
