/** First in, first out without a bound: what admission is measured against. */

import type { AdmissionAction } from '../../src/core/admission/action.ts'
import type { AdmissionEvent } from '../../src/core/admission/event.ts'
import type { Policy } from './policy.ts'

/**
 * With `runsLate` the plain baseline, which knows no deadlines and runs
 * whatever it has taken in. Without it our earlier version: the first slot of
 * agatepond, which let a waiting request go at its deadline and cut a running one off.
 */
export class FifoSlot implements Policy {
  private readonly waiting = new Set<number>()
  private readonly order: number[] = []
  private head = 0
  private idle = 0
  private open = 0

  private constructor (private readonly limit: number, readonly runsLate: boolean) {}

  static plain (limit: number): FifoSlot {
    return new FifoSlot(limit, true)
  }

  static earlier (limit: number): FifoSlot {
    return new FifoSlot(limit, false)
  }

  get queued (): number {
    return this.waiting.size
  }

  step (event: AdmissionEvent): readonly AdmissionAction[] {
    this.take(event)
    const actions: AdmissionAction[] = []
    while (this.idle > 0 && this.waiting.size > 0) {
      const id = this.order[this.head++]!
      if (!this.waiting.delete(id)) continue
      this.idle--
      actions.push({ kind: 'start', id })
    }
    if (this.waiting.size > 0 && this.open < this.limit) {
      this.open++
      actions.push({ kind: 'open' })
    }
    return actions
  }

  private take (event: AdmissionEvent): void {
    switch (event.kind) {
      case 'arrived':
        this.waiting.add(event.request.id)
        this.order.push(event.request.id)
        return
      case 'cancelled':
        this.waiting.delete(event.id)
        return
      case 'opened':
        this.idle++
        return
      case 'finished':
        if (event.isUsable) this.idle++
        else this.open--
    }
  }
}
