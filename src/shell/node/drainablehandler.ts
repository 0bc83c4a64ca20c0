/** Wraps the handler of one caller's connection and closes the connection when this process drains. */

import { setImmediate as readPending } from 'node:timers/promises'
import type { Instant } from '../../core/id/instant.ts'
import { decideClosing } from '../../core/membership/closing.ts'
import type { CommandHandler } from '../mysql/commandhandler.ts'
import type { Login } from '../mysql/login.ts'
import type { Reply } from '../mysql/reply.ts'

type DrainTimings = Parameters<typeof decideClosing>[1]

interface Options {
  readonly handler: CommandHandler
  readonly timings: DrainTimings
  readonly now: () => Instant
  /** When this process began to drain; undefined before. */
  readonly leavingSince: () => Instant | undefined
  readonly connection: Pick<Login, 'isReceiving' | 'closeConnection'>
  readonly onClosed: () => void
}

const ER_SERVER_SHUTDOWN = 1053
const REFUSAL = 'not run: this proxy is leaving; connect again and send the request again'

/**
 * Passes requests on to the wrapped handler. While the process drains, it
 * closes the connection when no request is likely to be under way.
 */
export class DrainableHandler implements CommandHandler {
  private isBusy = false
  private hungUpAt: Instant | undefined
  /** Whether everything written to the connection has been sent. */
  private isSent = false
  private requests = 0
  private answeredAt: Instant
  private shortestGapMs = Infinity

  private constructor (private readonly options: Options) {
    this.answeredAt = options.now()
  }

  static before (options: Options): DrainableHandler {
    return new DrainableHandler(options)
  }

  get isInTransaction (): boolean {
    return this.options.handler.isInTransaction === true
  }

  /** Whether the connection has been closed and its caller has been sent the last answer, or hasn't read it in the time of a caller. */
  get isOver (): boolean {
    if (this.hungUpAt === undefined) return false
    return this.isSent || this.options.now() - this.hungUpAt >= this.options.timings.callersMs
  }

  async query (sql: string, reply: Reply): Promise<void> {
    await this.handle(reply, async () => await this.options.handler.query(sql, reply))
  }

  async use (database: string, reply: Reply): Promise<void> {
    await this.handle(reply, async () => await this.options.handler.use(database, reply))
  }

  async prepare (sql: string, reply: Reply): Promise<void> {
    await this.handle(reply, async () => await this.options.handler.prepare(sql, reply))
  }

  async execute (payload: Buffer, reply: Reply): Promise<void> {
    await this.handle(reply, async () => await this.options.handler.execute(payload, reply))
  }

  async reset (reply: Reply): Promise<void> {
    await this.handle(reply, async () => await this.options.handler.reset(reply))
  }

  closeStatement (statement: number): void {
    this.options.handler.closeStatement(statement)
  }

  closed (): void {
    this.hungUpAt ??= this.options.now()
    this.isSent = true
    this.options.handler.closed()
    this.options.onClosed()
  }

  /** Closes the connection if it is due. To be called at intervals while this process drains. */
  tick (): void {
    this.closeIfDue('idle')
  }

  private async handle (reply: Reply, act: () => Promise<void>): Promise<void> {
    // A request that was on its way while the connection closed can't be answered any more, so it must not run.
    if (this.hungUpAt !== undefined) return
    this.requests++
    this.recordGap()
    if (this.decide('asked') === 'refuse') {
      reply.error(ER_SERVER_SHUTDOWN, REFUSAL)
      this.closeIfDue('refused')
      return
    }
    this.isBusy = true
    await act()
    this.isBusy = false
    this.answeredAt = this.options.now()
    this.closeIfDue('answered')
  }

  /**
   * Timers run before sockets are read, and a connection whose caller sends
   * ahead isn't read until the answer before is written. So whether to close
   * is decided again when what has arrived by now is read: the second turn
   * reads a connection that the first one resumes.
   */
  private async closeIfDue (kind: 'answered' | 'refused' | 'idle'): Promise<void> {
    if (this.isBusy || this.decide(kind) !== 'close') return
    const { requests } = this
    await readPending()
    await readPending()
    if (this.requests === requests && this.decide(kind) === 'close') this.hangUp()
  }

  /** Keeps the shortest gap between requests. It doubles with each request, so that the quick first requests of a caller soon stop counting. */
  private recordGap (): void {
    if (this.isInTransaction) return
    const gap = this.options.now() - this.answeredAt
    this.shortestGapMs = Math.min(gap, this.shortestGapMs * 2)
  }

  private decide (kind: 'asked' | 'answered' | 'refused' | 'idle'): ReturnType<typeof decideClosing> {
    const { now, leavingSince, timings, connection } = this.options
    const since = leavingSince()
    if (since === undefined) return 'go'
    return decideClosing({
      kind,
      isInTransaction: this.isInTransaction,
      isReceiving: connection.isReceiving(),
      idleMs: now() - this.answeredAt,
      shortestGapMs: this.shortestGapMs,
      leavingMs: now() - since
    }, timings)
  }

  private hangUp (): void {
    if (this.hungUpAt !== undefined) return
    this.hungUpAt = this.options.now()
    // An open transaction ends with its connection; its caller can't continue it on another.
    this.options.connection.closeConnection(ER_SERVER_SHUTDOWN, REFUSAL).then(() => { this.isSent = true })
  }
}
