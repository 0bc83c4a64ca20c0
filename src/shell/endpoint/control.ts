/** Calls the control procedures (verbs) of an endpoint over a separate MySQL connection. */

import { setImmediate as readPending } from 'node:timers/promises'
import { TermHistory } from '../../core/termhistory.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import { Sample } from '../../core/group/sample.ts'
import { EndpointConnection } from './connection.ts'
import { parseTextRow } from './parsetextrow.ts'

type Address = Parameters<typeof EndpointConnection.open>[0]

const ER_SIGNAL = 1644

/**
 * Calls the verbs that the platform's database groups are assumed to have
 * (docs/ASSUMPTIONS.md), one at a time. Connects on first use, and again after
 * the connection was lost or a call timed out. Calls reject on timeout.
 */
export class EndpointControl {
  private connection: EndpointConnection | undefined
  private last: Promise<unknown> = Promise.resolve()

  private constructor (
    readonly endpoint: EndpointId,
    private readonly address: Address,
    private readonly proposer: string,
    private readonly now: () => Instant
  ) {}

  static create (endpoint: EndpointId, address: Address, proposer: string, now: () => Instant): EndpointControl {
    return new EndpointControl(endpoint, address, proposer, now)
  }

  async status (ms: number): Promise<Sample> {
    return await this.call('status()', ms)
  }

  async seal (term: Term, ms: number): Promise<Sample> {
    return await this.call(`seal(${term},'${this.proposer}')`, ms)
  }

  async promote (term: Term, ms: number): Promise<Sample> {
    return await this.call(`promote(${term},'${this.proposer}')`, ms)
  }

  async follow (primary: EndpointId, term: Term, ms: number): Promise<Sample> {
    return await this.call(`follow('${primary}',${term})`, ms)
  }

  /** Resolves when the endpoint has received the position in the term; rejects with a refusal if its term is higher, and on timeout. */
  async received (term: Term, position: Position, ms: number): Promise<Sample> {
    return await this.call(`received(${term},${position},${ms})`, ms + REPLY_MARGIN_MS)
  }

  /** Whether the endpoint refused the verb, as opposed to a timeout or a connection error. */
  static isRefusal (err: unknown): boolean {
    return (err as { code?: number }).code === ER_SIGNAL
  }

  close (): void {
    this.connection?.destroy()
    this.connection = undefined
  }

  /** Runs verbs one at a time, so that a late answer isn't taken for that of the next verb. */
  private async call (verb: string, ms: number): Promise<Sample> {
    const result = this.last.then(async () => await this.ask(verb, ms))
    this.last = result.catch(() => undefined)
    return await result
  }

  private async ask (verb: string, ms: number): Promise<Sample> {
    const at = this.now()
    let isLate = false
    let isOver = false
    // Timers run before sockets are read, so the answer may have arrived that this process was too busy to read.
    const timer = setTimeout(async () => {
      await readPending()
      if (isOver) return
      isLate = true
      this.close()
    }, ms)
    try {
      if (this.connection === undefined || this.connection.isLost) {
        this.connection = await EndpointConnection.open({ ...this.address, connectMs: ms })
      }
      // If the connection opens after the timer has fired, no timeout would end the call.
      if (isLate) throw new Error('the connection opened after the timeout')
      const rows = await this.connection.ask(`CALL agatepond.${verb}`)
      return this.sample(rows[0], at)
    } catch (err) {
      if (!isServerError(err)) this.close()
      throw err
    } finally {
      isOver = true
      clearTimeout(timer)
    }
  }

  private sample (row: Buffer | undefined, at: Instant): Sample {
    const [role, term, lastTerm, received, applied, starts] = row === undefined ? [] : parseTextRow(row)
    if (starts === undefined || starts === null) throw new Error('the endpoint answered a verb without a row')
    return Sample.of({
      endpoint: this.endpoint,
      role: role as Sample['role'],
      term: Number(term) as Term,
      lastTerm: Number(lastTerm) as Term,
      received: Number(received) as Position,
      applied: Number(applied) as Position,
      history: TermHistory.of(JSON.parse(starts) as TermHistory['starts']),
      at,
      queued: 0,
      reachable: true
    })
  }
}

/** Time for the answer to arrive after the endpoint's own wait has ended. */
const REPLY_MARGIN_MS = 200

/** Errors that the server sent have a numeric `code`; connection errors have none or a string. */
function isServerError (err: unknown): boolean {
  return typeof (err as { code?: unknown }).code === 'number'
}
