/**
 * Confirmations of one endpoint, grouped: one question at a time serves every
 * write that waits for it, so their number doesn't grow with the writes.
 */

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

/** How long one question may wait at the endpoint; a shorter one lets newer questions join sooner. */
const QUERY_TIMEOUT_MS = 250

/** Against a loop without rest while the endpoint refuses connections. */
const RETRY_DELAY_MS = 10

/**
 * Asks rounds of `received` while anybody waits. A question joins only rounds
 * that begin after it. A replica that lags, or a connection that went silent,
 * ends a round and not the wait: the next round opens a new connection.
 */
export class ConfirmationBatcher {
  private waiting: PendingConfirmation[] = []
  private isRunning = false

  private constructor (private readonly control: EndpointControl) {}

  static create (control: EndpointControl): ConfirmationBatcher {
    return new ConfirmationBatcher(control)
  }

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

  private rejectAll (some: readonly PendingConfirmation[], err: Error): void {
    for (const one of some) one.reject(err)
  }
}
