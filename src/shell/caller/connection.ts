/** One caller's connection: its commands, its prepared statements and its transaction. */

import { Done_Outcome as DoneOutcome, Run_Access as RunAccess, type Done } from '../../gen/peer_pb.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { Instant } from '../../core/id/instant.ts'
import { implicitCommit } from '../../core/request/implicitcommit.ts'
import type { RequestSpec } from '../../core/request/requestspec.ts'
import type { ReasonName } from '../../core/reasonname.ts'
import { waitsForPrimary } from '../../core/request/waitsforprimary.ts'
import { Hints } from '../../core/routing/hints.ts'
import { skipLeadingTrivia } from '../../core/routing/trivia.ts'
import { statementKind } from '../../core/routing/statementkind.ts'
import { Token } from '../../core/token.ts'
import type { CommandHandler } from '../mysql/commandhandler.ts'
import type { Reply } from '../mysql/reply.ts'
import { PreparedStatement } from '../mysql/preparedstatement.ts'
import { writeTextResult } from '../mysql/textresult.ts'
import { refusal } from '../peer/refusal.ts'
import { refusalReason } from './refusalreason.ts'
import { answerCaller } from './answer.ts'
import { runRequest } from './requestrun.ts'
import type { CallerContext } from './context.ts'
import type { Identity } from './identity.ts'
import type { SessionReadRouter } from './sessionreadrouter.ts'
import type { Target } from './target.ts'
import { CallerTransaction } from './transaction.ts'

type Kind = ReturnType<typeof statementKind>

interface ParsedRequest {
  readonly sql: string
  readonly kind: Kind
  /** The idempotency key; empty without one. */
  readonly once: string
}

/** Queries the outcome of an earlier request by its idempotency key. */
const OUTCOME_QUERY = /^\s*show\s+agatepond\s+outcome\s+'([^']+)'\s*;?\s*$/i
/** Queries the session's token in the current database. */
const TOKEN_QUERY = /^select\s+@@agatepond_token\s*;?\s*$/i
/** Reasons of a refusal that mean that the transaction is no longer open. */
const TRANSACTION_ENDING_REASONS: ReadonlySet<string> = new Set(['lostTransaction', 'endedTransaction'])

const ER_BAD_DB = 1049
const ER_NOT_SUPPORTED = 1235
const ER_UNKNOWN_STATEMENT = 1243

/** Handles the commands of one caller's connection. */
export class CallerConnection implements CommandHandler {
  private hints = Hints.none
  private transaction: CallerTransaction | undefined
  /** The transaction whose BEGIN has not been answered yet. */
  private pendingTransaction: CallerTransaction | undefined
  private readonly statements = new Map<number, PreparedStatement>()
  private nextStatement = 1
  private readonly gone = new AbortController()

  private constructor (private readonly context: CallerContext, private readonly reads: SessionReadRouter, private identity: Identity) {}

  static create (context: CallerContext, reads: SessionReadRouter, identity: Identity): CallerConnection {
    return new CallerConnection(context, reads, identity)
  }

  get isInTransaction (): boolean {
    return this.transaction !== undefined
  }

  async query (sql: string, reply: Reply): Promise<void> {
    await this.run(sql, reply, false)
  }

  async use (database: string, reply: Reply): Promise<void> {
    const { pool } = this.identity
    const group = this.context.config()?.groups.find(one => one.database === database && pool.groups.includes(one.id))
    if (group === undefined) return reply.error(ER_BAD_DB, `no database "${database}" in pool "${pool.id}"; name one of the pool's databases`)
    this.identity = { ...this.identity, group }
    reply.ok()
  }

  async prepare (sql: string, reply: Reply): Promise<void> {
    const statement = PreparedStatement.of(this.nextStatement++, sql)
    this.statements.set(statement.id, statement)
    reply.prepareOk(statement.id, statement.parameterCount)
  }

  async execute (payload: Buffer, reply: Reply): Promise<void> {
    const statement = this.statements.get(payload.readUInt32LE(0))
    if (statement === undefined) return reply.error(ER_UNKNOWN_STATEMENT, 'unknown prepared statement; prepare it on this connection')
    await this.run(statement.bind(payload), reply, true)
  }

  async reset (reply: Reply): Promise<void> {
    this.rollBack()
    this.statements.clear()
    this.hints = Hints.none
    reply.ok()
  }

  closeStatement (statement: number): void {
    this.statements.delete(statement)
  }

  closed (): void {
    this.gone.abort()
    this.rollBack()
    this.context.sessions.forget(this.identity.session)
  }

  private rollBack (): void {
    this.pendingTransaction?.rollBack()
    this.transaction?.rollBack()
    this.pendingTransaction = undefined
    this.transaction = undefined
  }

  private async run (sql: string, reply: Reply, isBinary: boolean): Promise<void> {
    const kind = statementKind(sql)
    if (kind === 'set') return this.set(sql, reply)
    if (kind === 'use') return await this.use(sql.replace(/^\s*use\s+/i, '').replace(/[`;\s]/g, ''), reply)
    if (TOKEN_QUERY.test(skipLeadingTrivia(sql))) return this.sendToken(sql, reply, isBinary)
    const queriedKey = OUTCOME_QUERY.exec(sql)?.[1]
    if (queriedKey !== undefined) return await this.ask({ sql: '', kind: 'write', once: queriedKey }, reply, isBinary)
    if (this.transaction === undefined && (kind === 'commit' || kind === 'rollback')) return reply.ok()
    const statementHints = Hints.parse(sql)
    const once = statementHints.withDefaults(this.hints).fields.once ?? ''
    const reason = refusalReason({ sql, isRead: kind === 'read', once, statementOnce: statementHints.fields.once ?? '' }, this.transaction)
    if (reason !== undefined) return answerCaller(this.refuse({ sql, kind, once }, reason), reply, this.transaction !== undefined)
    const takesIdempotencyKey = this.transaction === undefined && (kind === 'write' || kind === 'begin')
    await this.ask({ sql, kind, once: takesIdempotencyKey ? once : '' }, reply, isBinary)
  }

  /** Sends the session's token, which a caller may present to another proxy; empty when the session has written nothing through this one. */
  private sendToken (sql: string, reply: Reply, isBinary: boolean): void {
    const token = this.reads.token(this.identity, Hints.parse(sql).withDefaults(this.hints))
    writeTextResult(reply, '@@agatepond_token', token.position === 0 ? '' : token.toString(), isBinary)
  }

  /** Builds the refusal of a request before routing, and audits it like any other request. */
  private refuse (req: ParsedRequest, reason: ReasonName): Done {
    const { context, identity } = this
    const deadline = context.now()
    const done = refusal(0, reason)
    const trail = context.audit.begin({ ...req, identity, hints: Hints.parse(req.sql).withDefaults(this.hints), deadline })
    trail.addAttempt({ kind: 'nowhere', reason }, done, deadline)
    return trail.end(done)
  }

  private async ask ({ sql, kind, once }: ParsedRequest, reply: Reply, isBinary: boolean): Promise<void> {
    const hints = Hints.parse(sql).withDefaults(this.hints)
    const { identity } = this
    const done = await runRequest(this.context, {
      sql,
      kind,
      identity,
      hints,
      once,
      spec: this.spec({ sql, kind, once }, hints),
      isBinary,
      target: async (ms, avoid) => await this.target({ sql, kind, once }, hints, ms, avoid)
    }, reply, this.gone.signal)
    this.after(kind, done)
    if (done.position > 0) this.reads.wrote(identity, hints, Token.of(done.term, done.position))
    answerCaller(done, reply, this.transaction !== undefined)
  }

  private spec ({ sql, kind, once }: ParsedRequest, hints: Hints): RequestSpec {
    const { transaction } = this
    const inside = kind === 'commit' ? 'commit' : 'inside'
    const outside = kind === 'begin' ? 'begin' : 'alone'
    return {
      isRead: kind === 'read',
      hasIdempotencyKey: once !== '',
      place: transaction === undefined ? outside : inside,
      mayCommitImplicitly: implicitCommit(sql) === 'may',
      waitsForPrimary: waitsForPrimary(kind, hints.fields.class),
      deadline: this.context.now() + (hints.fields.deadlineMs ?? this.context.deadlineMs) as Instant
    }
  }

  /** Determines the target of the next attempt, or why there is none. */
  private async target ({ kind, once }: ParsedRequest, hints: Hints, ms: number, avoid: readonly EndpointId[]): Promise<Target> {
    const { transaction } = this
    if (transaction !== undefined) return transaction.target(accessInTransaction(kind))
    if (kind === 'read') return await this.reads.route(this.identity, hints, ms, avoid)
    const group = this.context.groups.get(this.identity.group.id)
    if (group?.isSampled !== true) return { kind: 'nowhere', reason: 'notSampled' }
    const { primary } = group
    if (primary === undefined) return { kind: 'nowhere', reason: 'noPrimary' }
    const { endpoint } = primary
    if (kind !== 'begin') return { kind: 'endpoint', endpoint, access: RunAccess.WRITE, transaction: '' }
    const port = this.context.port(endpoint)
    if (port === undefined) return { kind: 'nowhere', reason: 'noSlotOwner' }
    this.pendingTransaction?.rollBack()
    this.pendingTransaction = CallerTransaction.begin(endpoint, port, once)
    return this.pendingTransaction.target(RunAccess.TRANSACTION)
  }

  /** Updates the transaction state from an outcome. A transaction whose BEGIN may have run is rolled back to free its connection. */
  private after (kind: Kind, done: Done): void {
    if (kind === 'begin') {
      if (done.outcome === DoneOutcome.DONE) this.transaction = this.pendingTransaction
      else this.pendingTransaction?.rollBack()
      this.pendingTransaction = undefined
      return
    }
    const isOver = kind === 'commit' || kind === 'rollback' || TRANSACTION_ENDING_REASONS.has(done.reason)
    if (!isOver) return
    if (done.outcome !== DoneOutcome.DONE) this.transaction?.rollBack()
    this.transaction = undefined
  }

  /** Handles SET in the proxy only: endpoint connections are shared, so a variable set on one would leak to other callers. */
  private set (sql: string, reply: Reply): void {
    const assignment = /^\s*set\s+@agatepond_(\w+)\s*:?=\s*'([^']*)'\s*;?\s*$/i.exec(sql)
    if (assignment !== null) {
      this.hints = this.hints.with(assignment[1]!, assignment[2]!)
      return reply.ok()
    }
    if (/autocommit\s*=\s*(0|off|false)/i.test(sql)) {
      return reply.error(ER_NOT_SUPPORTED, 'autocommit=0 is not supported; use BEGIN and COMMIT')
    }
    reply.ok({ inTransaction: this.transaction !== undefined })
  }
}

function accessInTransaction (kind: Kind): RunAccess {
  if (kind === 'commit') return RunAccess.COMMIT
  return kind === 'rollback' ? RunAccess.ROLLBACK : RunAccess.TRANSACTION
}
