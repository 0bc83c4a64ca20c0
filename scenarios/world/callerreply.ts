/** What one caller is told, in place of src/shell/mysql/reply.ts: taken apart as a MySQL client would. */

import type { Outcome } from '../../src/core/outcome.ts'
import { Token } from '../../src/core/token.ts'
import { parseTextRow } from '../../src/shell/endpoint/parsetextrow.ts'
import type { Reply } from '../../src/shell/mysql/reply.ts'

interface Row {
  readonly key: string
  readonly values: readonly string[]
}

/** An answer without its end is of unknown outcome. */
export class CallerReply {
  outcome: Outcome = 'unknown'
  token: Token | undefined
  hasStarted = false
  private readonly taken: Uint8Array[] = []

  private constructor () {}

  static create (): CallerReply {
    return new CallerReply()
  }

  /** For a request whose connection broke, or that couldn't be sent. */
  static of (outcome: Outcome): CallerReply {
    const it = new CallerReply()
    it.outcome = outcome
    return it
  }

  get asReply (): Reply {
    return this as unknown as Reply
  }

  get values (): readonly Row[] {
    return this.taken.map(row => {
      const [key, list] = parseTextRow(Buffer.from(row))
      return { key: key!, values: list === '' ? [] : list!.split(' ') }
    })
  }

  head (): void {
    this.hasStarted = true
  }

  rows (rows: readonly Uint8Array[]): boolean {
    this.taken.push(...rows)
    return true
  }

  ok ({ message = '' }: { readonly message?: string } = {}): void {
    this.outcome = 'done'
    this.token = Token.parse(message.replace('token=', ''))
  }

  end (): void {
    this.outcome = 'done'
  }

  error (_code: number, message: string): void {
    if (message.startsWith('not run')) this.outcome = 'notRun'
    else this.outcome = message.startsWith('outcome unknown') ? 'unknown' : 'failed'
  }
}
