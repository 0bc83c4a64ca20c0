/** Confirms received positions at one endpoint, in batches: one query at a time serves all writes that wait. */

import type { Sample } from '../../core/group/sample.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import { EndpointControl } from './control.ts'

interface PendingConfirmation {
  readonly term: Term
  readonly position: Position
  readonly resolve: (sample: Sample) => void
  readonly reject: (err: Error) => void
  readonly until: number
}

/** How long one query may wait at the endpoint; later confirmations wait for the next query. */
const QUERY_TIMEOUT_MS = 250

/** Pause before the next query after one that failed. */
const RETRY_DELAY_MS = 10

/**
 * Calls `received` in a loop while confirmations wait. A confirmation joins the
 * next query. When a query fails because the replica lags or the connection is
 * silent, its confirmations join the next one until their own timeout.
 */
export class ConfirmationBatcher {
  private waiting: PendingConfirmation[] = []
  private isRunning = false

  private constructor (private readonly control: EndpointControl) {}

  static create (control: EndpointControl): ConfirmationBatcher {
    return new ConfirmationBatcher(control)
  }

  /** Resolves when the endpoint has received the position in the term; rejects on a refusal, on a newer term or after `ms`. */
  async confirm (term: Term, position: Position, ms: number): Promise<Sample> {
    return await new Promise((resolve, reject) => {
      this.waiting.push({ term, position, resolve, reject, until: performance.now() + ms })
      if (!this.isRunning) this.loop()
    })
  }

  private async loop (): Promise<void> {
    this.isRunning = true
    while (this.waiting.length > 0) {
      const term = Math.max(...this.waiting.map(one => one.term)) as Term
      const round = this.waiting.filter(one => one.term === term)
      this.rejectAll(this.waiting.filter(one => one.term < term), new Error('a newer term began'))
      this.waiting = []
      await this.ask(term, round)
    }
    this.isRunning = false
  }

  private async ask (term: Term, round: PendingConfirmation[]): Promise<void> {
    const lowest = Math.min(...round.map(one => one.position)) as Position
    const left = Math.max(...round.map(one => one.until)) - performance.now()
    const ms = Math.max(1, Math.min(QUERY_TIMEOUT_MS, Math.ceil(left)))
    try {
      const sample = await this.control.received(term, lowest, ms)
      for (const one of round) {
        if (sample.received >= one.position) one.resolve(sample)
        else this.retryOrReject(one)
      }
    } catch (err) {
      if (EndpointControl.isRefusal(err)) return this.rejectAll(round, err as Error)
      await new Promise(resolve => { setTimeout(resolve, RETRY_DELAY_MS) })
      for (const one of round) this.retryOrReject(one)
    }
  }

  private retryOrReject (one: PendingConfirmation): void {
    if (performance.now() < one.until) this.waiting.push(one)
    else one.reject(new Error('not received in time'))
  }

  private rejectAll (confirmations: readonly PendingConfirmation[], err: Error): void {
    for (const one of confirmations) one.reject(err)
  }
}
