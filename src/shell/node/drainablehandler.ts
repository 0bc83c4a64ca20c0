/** Stands before the handler of one caller's connection and closes it when this process leaves. */

import type { Instant } from '../../core/id/instant.ts'
import { decideClosing } from '../../core/membership/closing.ts'
import type { CommandHandler } from '../mysql/commandhandler.ts'
import type { Reply } from '../mysql/reply.ts'

type DrainTimings = Parameters<typeof decideClosing>[1]

interface Options {
  readonly handler: CommandHandler
  readonly timings: DrainTimings
  readonly now: () => Instant
  /** When this process began to leave; undefined while it stays. */
  readonly leavingSince: () => Instant | undefined
  readonly hangUp: () => void
  readonly onClosed: () => void
}

const ER_SERVER_SHUTDOWN = 1053
const REFUSAL = 'not run: this proxy is leaving; connect again and send the request again'

export class DrainableHandler implements CommandHandler {
  private isBusy = false
  private hasHungUp = false
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

  /** Whether nothing is in progress and nothing more will be. */
  get isOver (): boolean {
    return this.hasHungUp
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
    this.hasHungUp = true
    this.options.handler.closed()
    this.options.onClosed()
  }

  /** Closes the connection when it's time to; called now and then while this process leaves. */
  tick (): void {
    if (!this.isBusy && this.decide('idle') === 'close') this.hangUp()
  }

  private async handle (reply: Reply, act: () => Promise<void>): Promise<void> {
    // A request that crossed the closing on its way: it can't be answered any more, so it must not run.
    if (this.hasHungUp) return
    this.recordGap()
    if (this.decide('asked') === 'refuse') {
      reply.error(ER_SERVER_SHUTDOWN, REFUSAL)
      return this.hangUp()
    }
    this.isBusy = true
    await act()
    this.isBusy = false
    this.answeredAt = this.options.now()
    if (this.decide('answered') === 'close') this.hangUp()
  }

  /** A caller's first requests often follow each other at once; the shortest gap is forgotten by halves. */
  private recordGap (): void {
    if (this.isInTransaction) return
    const gap = this.options.now() - this.answeredAt
    this.shortestGapMs = Math.min(gap, this.shortestGapMs * 2)
  }

  private decide (kind: 'asked' | 'answered' | 'idle'): ReturnType<typeof decideClosing> {
    const { now, leavingSince, timings: pace } = this.options
    const since = leavingSince()
    if (since === undefined) return 'go'
    return decideClosing({
      kind,
      isInTransaction: this.isInTransaction,
      idleMs: now() - this.answeredAt,
      shortestGapMs: this.shortestGapMs,
      leavingMs: now() - since
    }, pace)
  }

  private hangUp (): void {
    if (this.hasHungUp) return
    this.hasHungUp = true
    // An open transaction ends with its connection: its caller can't go on with it elsewhere.
    this.options.hangUp()
  }
}
