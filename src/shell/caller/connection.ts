/** One caller's connection: its session, its transaction, and the way of each of its requests. */

import { randomUUID } from 'node:crypto'
import { Done_Outcome as DoneOutcome, Run_Access as RunAccess, type Done } from '../../gen/peer_pb.ts'
import type { Config } from '../../core/config/config.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { SessionId } from '../../core/id/session.ts'
import { reasons } from '../../core/reason.ts'
import type { Freshness } from '../../core/routing/freshness.ts'
import { Hints } from '../../core/routing/hints.ts'
import { routeRead } from '../../core/routing/route.ts'
import { statementKind } from '../../core/routing/statement.ts'
import { Session } from '../../core/session/session.ts'
import { Token } from '../../core/token.ts'
import type { Handler } from '../mysql/handler.ts'
import type { Reply } from '../mysql/reply.ts'
import { PreparedStatement } from '../mysql/statement.ts'
import { refusal } from '../peer/answer.ts'
import { acknowledgedBound } from './bound.ts'
import type { CallerContext } from './context.ts'
import { relay } from './relay.ts'

type Pool = Config['pools'][number]
type DatabaseGroup = Config['groups'][number]

interface Identity {
  readonly pool: Pool
  readonly group: DatabaseGroup
  readonly caller: string
  readonly session: SessionId
}

interface Transaction {
  readonly id: string
  readonly endpoint: EndpointId
}

const ER_BAD_DB = 1049
const ER_NOT_SUPPORTED = 1235
const ER_UNKNOWN_STATEMENT = 1243
const RETRY_MS = 20

/** Handles the commands of one caller's connection. */
export class CallerConnection implements Handler {
  private hints = Hints.none
  private transaction: Transaction | undefined
  private readonly statements = new Map<number, PreparedStatement>()
  private nextStatement = 1
  private readonly gone = new AbortController()

  private constructor (private readonly context: CallerContext, private identity: Identity) {}

  static create (context: CallerContext, identity: Identity): CallerConnection {
    return new CallerConnection(context, identity)
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
    reply.prepared(statement.id, statement.parameters)
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

  forget (statement: number): void {
    this.statements.delete(statement)
  }

  closed (): void {
    this.gone.abort()
    this.rollBack()
  }

  private rollBack (): void {
    const { transaction } = this
    this.transaction = undefined
    if (transaction === undefined) return
    this.context.port(transaction.endpoint)?.release(transaction.id as never)
  }

  private async run (sql: string, reply: Reply, isBinary: boolean): Promise<void> {
    const kind = statementKind(sql)
    if (kind === 'set') return this.set(sql, reply)
    if (kind === 'use') return await this.use(sql.replace(/^\s*use\s+/i, '').replace(/[`;\s]/g, ''), reply)
    const hints = Hints.parse(sql).over(this.hints)
    const deadline = this.context.now() + (hints.fields.deadlineMs ?? this.context.deadlineMs)
    const { done, place } = await this.attempts(sql, kind, hints, deadline, reply, isBinary)
    const outcome = DoneOutcome[done.outcome].toLowerCase()
    this.context.metrics.requests.inc({ kind, place, outcome })
    this.answer(done, reply)
  }

  /** Tries until the request has an outcome: again only what is proved not run, within the deadline. */
  private async attempts (sql: string, kind: ReturnType<typeof statementKind>, hints: Hints, deadline: number, reply: Reply, isBinary: boolean): Promise<{ done: Done, place: 'replica' | 'primary' | 'none' }> {
    for (;;) {
      const left = Math.ceil(deadline - this.context.now())
      if (kind === 'read') await this.fillSession(hints, Math.max(1, left))
      const target = this.target(kind, hints)
      const done = typeof target === 'string'
        ? refusal(0, target, '', RETRY_MS)
        : await relay(this.context.port(target.endpoint), {
          endpoint: target.endpoint,
          sql,
          access: target.access,
          transaction: target.transaction,
          deadlineMs: Math.max(1, left),
          class: hints.fields.class ?? 'normal',
          caller: this.identity.caller,
          request: hints.fields.once ?? randomUUID(),
          once: hints.fields.once ?? '',
          term: 0,
          position: 0,
          database: this.identity.group.database
        }, reply, isBinary, this.gone.signal)
      const place = typeof target === 'string' ? 'none' : target.access === RunAccess.READ ? 'replica' : 'primary'
      this.after(kind, done, target, hints)
      const mayRetry = done.outcome === DoneOutcome.NOT_RUN && !reply.hasStarted && this.transaction === undefined &&
        done.reason !== 'lostWrite' && done.reason !== 'lostTransaction'
      if (!mayRetry || deadline - this.context.now() <= RETRY_MS || this.gone.signal.aborted) return { done, place }
      await this.context.groups.changed(RETRY_MS)
    }
  }

  /** Where the request goes next, or why it goes nowhere. */
  private target (kind: ReturnType<typeof statementKind>, hints: Hints): { endpoint: EndpointId, access: RunAccess, transaction: string } | 'noPrimary' | 'lostWrite' {
    const { transaction } = this
    if (transaction !== undefined) {
      const access = kind === 'commit' ? RunAccess.COMMIT : kind === 'rollback' ? RunAccess.ROLLBACK : RunAccess.TRANSACTION
      return { endpoint: transaction.endpoint, access, transaction: transaction.id }
    }
    const group = this.context.groups.get(this.identity.group.id)
    if (group === undefined) return 'noPrimary'
    if (kind === 'read') {
      const token = this.token(hints)
      const freshness = token === undefined ? { kind: 'strict' as const } : this.freshness(hints)
      const route = routeRead({ group, freshness, token: token ?? Token.zero, near: this.context.near })
      if (route.kind === 'lost') return 'lostWrite'
      if (route.kind === 'none') return 'noPrimary'
      return { endpoint: route.endpoint, access: route.kind === 'replica' ? RunAccess.READ : RunAccess.STRICT, transaction: '' }
    }
    const { primary } = group
    if (primary === undefined) return 'noPrimary'
    if (kind === 'begin') {
      this.transaction = { id: randomUUID(), endpoint: primary.endpoint }
      return { endpoint: primary.endpoint, access: RunAccess.TRANSACTION, transaction: this.transaction.id }
    }
    return { endpoint: primary.endpoint, access: RunAccess.WRITE, transaction: '' }
  }

  private freshness (hints: Hints): Freshness {
    const { pool } = this.identity
    return pool.kinds.find(one => one.name === hints.fields.read)?.freshness ?? pool.freshness
  }

  /** Undefined when nothing is known of the session's writes, so that only a strict read is safe. */
  private token (hints: Hints): Token | undefined {
    const { session, group } = this.identity
    const known = this.context.sessions.get(hints.fields.session ?? session)?.token(group.id)
    const { token } = hints.fields
    if (known === undefined || token === undefined) return known ?? token
    return known.max(token)
  }

  /**
   * A session that roamed here from another proxy may have written there.
   * Its missing row is filled with the bound of all acknowledged writes.
   */
  private async fillSession (hints: Hints, ms: number): Promise<void> {
    const { groups, sessions } = this.context
    const id = hints.fields.session ?? this.identity.session
    const group = groups.get(this.identity.group.id)
    const isKnown = hints.fields.token !== undefined || sessions.get(id)?.token(this.identity.group.id) !== undefined
    if (isKnown || group === undefined || this.transaction !== undefined) return
    const bound = await acknowledgedBound(this.context, group, ms)
    if (bound !== undefined) sessions.set((sessions.get(id) ?? Session.create(id)).with(group.id, bound))
  }

  /** Takes in what the outcome says of the session and of the transaction. */
  private after (kind: ReturnType<typeof statementKind>, done: Done, target: ReturnType<CallerConnection['target']>, hints: Hints): void {
    if (typeof target === 'string') return
    const endsTransaction = kind === 'commit' || kind === 'rollback' || done.reason === 'lostTransaction' ||
      (kind === 'begin' && done.outcome !== DoneOutcome.DONE)
    if (endsTransaction) this.transaction = undefined
    if (done.position > 0) this.remember(Token.of(done.term, done.position), hints)
  }

  private remember (token: Token, hints: Hints): void {
    const { sessions } = this.context
    const { group } = this.identity
    const id = hints.fields.session ?? this.identity.session
    sessions.set((sessions.get(id) ?? Session.create(id)).with(group.id, token))
  }

  private answer (done: Done, reply: Reply): void {
    if (done.outcome === DoneOutcome.DONE) {
      const inTransaction = this.transaction !== undefined
      if (reply.hasStarted) return reply.end(inTransaction)
      const message = done.position > 0 ? `token=${done.term}:${done.position}` : ''
      return reply.ok({ affected: done.affected, insertId: done.insertId, inTransaction, message })
    }
    if (done.outcome === DoneOutcome.FAILED) return reply.error(done.code, done.message)
    const word = done.outcome === DoneOutcome.NOT_RUN ? 'not run' : 'outcome unknown'
    const again = done.retryAfterMs > 0 ? `; come back after ${done.retryAfterMs}ms` : ''
    reply.error(done.code || reasons.lost.code, `${word}: ${done.message}${again}`)
  }

  /** SET works on this proxy: a variable of an endpoint's connection would be another caller's next. */
  private set (sql: string, reply: Reply): void {
    const own = /^\s*set\s+@agatepond_(\w+)\s*:?=\s*'([^']*)'\s*;?\s*$/i.exec(sql)
    if (own !== null) {
      this.hints = this.hints.with(own[1]!, own[2]!)
      return reply.ok()
    }
    if (/autocommit\s*=\s*(0|off|false)/i.test(sql)) {
      return reply.error(ER_NOT_SUPPORTED, 'autocommit=0 is not supported; use BEGIN and COMMIT')
    }
    reply.ok({ inTransaction: this.transaction !== undefined })
  }
}
