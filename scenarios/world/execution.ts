/** One request on a slot; mirrors src/shell/endpoint/execution.ts, its order of steps above all. */

import { fingerprint } from '../../src/core/session/fingerprint.ts'
import type { Token } from '../../src/core/token.ts'
import type { Connection } from './connection.ts'
import type { Endpoint } from './endpoint.ts'
import { LinkError } from './linkerror.ts'
import type { Process } from './process.ts'
import { Reply } from './reply.ts'
import type { Request } from './request.ts'
import type { Slot } from './slot.ts'

interface Context {
  readonly process: Process
  readonly endpoint: Endpoint
  readonly slot: Slot
  readonly confirm: (token: Token, ms: number) => Promise<boolean>
  readonly proveCurrent: (ms: number) => Promise<boolean>
  readonly wrote: (token: Token, session: number) => void
}

export class Execution {
  private connection: Connection | undefined
  private isOver = false

  private constructor (
    private readonly context: Context,
    private readonly req: Request,
    private readonly isStrict: boolean,
    private readonly ms: number
  ) {}

  static async run (context: Context, req: Request, isStrict: boolean, ms: number): Promise<Reply> {
    const it = new Execution(context, req, isStrict, ms)
    return await new Promise(resolve => {
      const callOff = context.process.after(ms, () => resolve(it.expire()))
      it.work().then(reply => {
        callOff()
        resolve(reply)
      })
    })
  }

  private expire (): Reply {
    const wasSent = this.connection !== undefined
    this.isOver = true
    if (this.connection !== undefined) {
      this.connection.break()
      this.release(this.connection, false)
    }
    return Reply.refuse(wasSent ? 'deadline' : 'busy')
  }

  private async work (): Promise<Reply> {
    if (this.isStrict && !await this.context.proveCurrent(this.ms)) return Reply.refuse('unproved')
    const { slot } = this.context
    const { transaction, statement } = this.req
    const pinned = transaction === undefined ? undefined : slot.pinnedBy(transaction)
    if (pinned === undefined && transaction !== undefined && statement.kind !== 'begin') return Reply.refuse('lostTransaction')
    try {
      const connection = pinned ?? await slot.borrow()
      if (!this.isOver) return await this.ask(connection, pinned === undefined)
      slot.giveBack(connection, true)
    } catch {
      return Reply.refuse('unreachable')
    }
    return await new Promise(() => undefined)
  }

  private async ask (connection: Connection, isBorrowed: boolean): Promise<Reply> {
    const { process, endpoint, slot } = this.context
    const { transaction, statement } = this.req
    if (isBorrowed && transaction !== undefined) slot.pin(transaction, connection)
    this.connection = connection
    try {
      const answer = await process.ask(connection, this.ms * 2, async () => await endpoint.run(connection, statement))
      if (this.isOver) return await new Promise(() => undefined)
      this.release(connection, statement.kind !== 'commit')
      if (answer.token !== undefined) this.context.wrote(answer.token, fingerprint(this.req.session))
      if (answer.token !== undefined && !await this.context.confirm(answer.token, this.ms)) return Reply.refuse('unconfirmed')
      return Reply.of({ outcome: 'done', rows: answer.rows, token: answer.token })
    } catch (err) {
      if (this.isOver) return await new Promise(() => undefined)
      this.release(connection, false)
      if (!(err instanceof LinkError)) return Reply.refuse(transaction === undefined ? 'replaced' : 'lostTransaction')
      return Reply.refuse(transaction !== undefined && statement.kind !== 'commit' ? 'lostTransaction' : 'lost')
    }
  }

  private release (connection: Connection, staysOpen: boolean): void {
    const { slot } = this.context
    const { transaction } = this.req
    this.connection = undefined
    if (transaction !== undefined && staysOpen && !connection.isBroken) return
    if (transaction !== undefined) slot.unpin(transaction)
    slot.giveBack(connection, !connection.isBroken)
  }
}
