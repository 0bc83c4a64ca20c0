/** One connection to a stand-in endpoint: text queries, transactions and the verbs. */

import { setTimeout as sleep } from 'node:timers/promises'
import { statementKind } from '../../src/core/routing/statementkind.ts'
import { skipLeadingTrivia } from '../../src/core/routing/trivia.ts'
import { Token } from '../../src/core/token.ts'
import type { CommandHandler } from '../../src/shell/mysql/commandhandler.ts'
import { OkPacket } from '../../src/shell/mysql/okpacket.ts'
import type { Reply } from '../../src/shell/mysql/reply.ts'
import { encodeResult } from './columns.ts'
import type { Replication } from './replication.ts'
import type { Server } from './server.ts'

const ER_READ_ONLY = 1290
const ER_PARSE = 1064
const ER_DUP_ENTRY = 1062
const ER_NO_SUCH_TABLE = 1146
const ER_VERB = 1644
const ER_WAIT_TIMEOUT = 1205
const AUTOCOMMIT = 2

interface Context {
  readonly server: Server
  readonly replication: Replication
  /** Replication addresses by endpoint id. */
  readonly addresses: ReadonlyMap<string, string>
  readonly mayControl: boolean
  /** Time that each statement takes. */
  readonly statementMs: () => number
  readonly onClosed: () => void
  /** Called for each statement that isn't a verb. */
  readonly onStatement: () => void
}

/** Handles the commands of one connection. */
export class EndpointSession implements CommandHandler {
  private open: string[] | undefined

  private constructor (private readonly context: Context) {}

  static create (context: Context): EndpointSession {
    return new EndpointSession(context)
  }

  async query (sql: string, reply: Reply): Promise<void> {
    const verb = /^CALL agatepond\.(\w+)\((.*)\)$/i.exec(sql)
    if (verb !== null) return await this.verb(verb[1]!, argsOf(verb[2]!), reply)
    this.context.onStatement()
    const ms = this.context.statementMs()
    if (ms > 0) await sleep(ms)
    try {
      this.run(sql, reply)
    } catch (err) {
      this.refuse(err as Error, reply)
    }
  }

  async use (_database: string, reply: Reply): Promise<void> {
    reply.ok({ inTransaction: this.open !== undefined })
  }

  async prepare (_sql: string, reply: Reply): Promise<void> {
    reply.error(1295, 'the stand-in takes text queries only')
  }

  async execute (_payload: Buffer, reply: Reply): Promise<void> {
    reply.error(1295, 'the stand-in takes text queries only')
  }

  async reset (reply: Reply): Promise<void> {
    this.open = undefined
    reply.ok()
  }

  closeStatement (): void {}

  /** A statement that runs now ends inside of its transaction, which is then forgotten with this session. */
  closed (): void {
    this.context.onClosed()
  }

  private run (sql: string, reply: Reply): void {
    const variable = /^\s*select\s+@@(?:global\.|session\.)?(\w+)/i.exec(sql)
    if (variable !== null) return answer({ kind: 'rows', columns: [`@@${variable[1]}`], rows: [['0']] }, reply)
    switch (statementKind(sql)) {
      case 'begin':
        this.open = []
        return reply.ok({ inTransaction: true })
      case 'rollback':
        this.open = undefined
        return reply.ok()
      case 'commit': return this.commit(reply)
      case 'set':
      case 'use': return reply.ok({ inTransaction: this.open !== undefined })
      case 'read': return this.read(sql, reply)
      case 'write': return this.write(sql, reply)
    }
  }

  private read (sql: string, reply: Reply): void {
    answer(this.context.server.read([...this.open ?? [], sql]), reply, this.open !== undefined)
  }

  private write (sql: string, reply: Reply): void {
    const statement = plain(sql)
    if (this.open === undefined) return this.append([statement], reply)
    if (this.context.server.role !== 'primary') throw new Error('read-only')
    const result = this.context.server.read([...this.open, statement])
    this.open.push(statement)
    answer(result, reply, true)
  }

  private commit (reply: Reply): void {
    const statements = this.open ?? []
    this.open = undefined
    if (statements.length === 0) return reply.ok()
    this.append(statements, reply)
  }

  private append (statements: readonly string[], reply: Reply): void {
    const { answer: result, entry } = this.context.server.write(statements)
    if (result.kind === 'rows') return answer(result, reply)
    reply.raw(OkPacket.encode(result.affected, result.insertId, AUTOCOMMIT, Token.of(entry.term, entry.position)))
    reply.finish()
  }

  private refuse (err: Error, reply: Reply): void {
    if (err.message === 'read-only') {
      this.open = undefined
      return reply.error(ER_READ_ONLY, 'The MySQL server is running with the --super-read-only option so it cannot execute this statement')
    }
    reply.error(codeOf(err.message), err.message)
  }

  private async verb (name: string, args: readonly (string | number)[], reply: Reply): Promise<void> {
    if (!this.context.mayControl) return reply.error(1370, 'execute command denied to this user')
    try {
      await this.runVerb(name, args)
      const { server } = this.context
      const status = server.status
      answer({
        kind: 'rows',
        columns: ['role', 'term', 'last_term', 'received', 'applied', 'starts'],
        rows: [[status.role, status.term, status.lastTerm, status.received, status.applied, JSON.stringify(status.starts)]]
      }, reply)
    } catch (err) {
      const { message } = err as Error
      reply.error(message.startsWith('received is') ? ER_WAIT_TIMEOUT : ER_VERB, message)
    }
  }

  private async runVerb (name: string, args: readonly (string | number)[]): Promise<void> {
    const { server, replication, addresses } = this.context
    switch (name) {
      case 'status': return
      case 'seal':
        server.seal(Number(args[0]), String(args[1]))
        return replication.stop()
      case 'promote': return server.promote(Number(args[0]), String(args[1]))
      case 'follow':
        server.follow(Number(args[1]))
        return replication.follow(addresses.get(String(args[0])) ?? '', Number(args[1]))
      case 'received': return await this.waitReceived(Number(args[0]), Number(args[1]), Number(args[2]))
      default: throw new Error(`no verb ${name}`)
    }
  }

  /**
   * Waits until the position has been received in the term; fails when the term
   * is higher or the time is over. A server that doesn't know the term yet
   * will be told to follow its primary, so it waits as one that lags. A log that isn't cut at the fork yet may
   * hold other entries at these positions, so it confirms nothing before.
   */
  private async waitReceived (term: number, position: number, ms: number): Promise<void> {
    const { server } = this.context
    const end = performance.now() + ms
    for (;;) {
      if (server.term > term) throw new Error(`term is ${server.term}`)
      const isInTerm = server.term === term && server.role !== 'sealed' && server.alignedTerm === term
      if (isInTerm && server.received >= position) return
      const left = end - performance.now()
      if (left <= 0) throw new Error(`received is ${server.received}`)
      await server.nextChange(left)
    }
  }
}

function answer (result: ReturnType<Server['read']>, reply: Reply, inTransaction = false): void {
  if (result.kind === 'counts') return reply.ok({ ...result, inTransaction })
  const encoded = encodeResult(result.columns, result.rows)
  reply.head(encoded.columns)
  reply.rows(encoded.rows)
  reply.end(inTransaction)
}

/** The error number that MySQL gives where SQLite has a text only. */
function codeOf (message: string): number {
  if (/UNIQUE constraint/.test(message)) return ER_DUP_ENTRY
  return /no such table/.test(message) ? ER_NO_SUCH_TABLE : ER_PARSE
}

/** SQLite takes the statement itself, without MySQL's comments in front. */
function plain (sql: string): string {
  return skipLeadingTrivia(sql)
}

function argsOf (text: string): readonly (string | number)[] {
  if (text.trim() === '') return []
  return JSON.parse(`[${text.replaceAll("'", '"')}]`) as (string | number)[]
}
