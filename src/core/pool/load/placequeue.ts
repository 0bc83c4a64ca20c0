/** The requests of one class that wait for a place at an endpoint. */

import { FairQueue } from '../../admission/fairqueue.ts'
import type { AdmissionRequest } from '../../admission/request.ts'
import { ServiceTime } from '../../admission/servicetime.ts'
import type { CallerId } from '../../id/caller.ts'
import type { Instant } from '../../id/instant.ts'
import type { PlaceOrder } from './placeorder.ts'

interface WaitingOrder {
  readonly order: PlaceOrder
  /** The same request in the form that its queue holds. */
  readonly request: AdmissionRequest
}

const KINDS = ['next', 'first', 'opening'] as const

/** One fair queue between callers for each kind of request. Changes in place, like the queues that it contains. */
export class PlaceQueue {
  /** How long its statements hold a place. */
  readonly service = ServiceTime.create()
  private readonly queues = { next: FairQueue.create(), first: FairQueue.create(), opening: FairQueue.create() }
  private readonly waiting = new Map<number, WaitingOrder>()

  private constructor () {}

  static create (): PlaceQueue {
    return new PlaceQueue()
  }

  get size (): number {
    return this.waiting.size
  }

  /** Waiting statements; connection openings aren't included. */
  get statements (): number {
    return this.queues.next.size + this.queues.first.size
  }

  push (order: PlaceOrder): void {
    const request = toRequest(order)
    this.waiting.set(order.id, { order, request })
    this.queues[order.what].push(request)
  }

  remove ({ id, what }: PlaceOrder): void {
    const waiting = this.waiting.get(id)
    if (waiting === undefined) return
    this.waiting.delete(id)
    this.queues[what].remove(waiting.request)
  }

  /**
   * The request that is next. Transactions that have begun go first: this frees what they hold sooner, and unfinished work isn't lost. Of the first other
   * statement and the first connection opening, the one that arrived first.
   */
  peek (isOpeningAllowed: boolean, now: Instant): PlaceOrder | undefined {
    const next = this.queues.next.peek(now)
    if (next !== undefined) return this.waiting.get(next.id)?.order
    const first = this.queues.first.peek(now)
    const opening = isOpeningAllowed ? this.queues.opening.peek(now) : undefined
    const ids = [first, opening].flatMap(request => request === undefined ? [] : [request.id])
    return this.waiting.get(Math.min(...ids))?.order
  }

  /** Every request, with the number of those of its class that go before it. */
  * inTurn (now: Instant): Generator<readonly [PlaceOrder, number]> {
    let before = 0
    for (const kind of KINDS) {
      for (const [{ id }, ahead] of this.queues[kind].inServingOrder(now)) yield [this.waiting.get(id)!.order, before + ahead]
      before += this.queues[kind].size
    }
  }

  /** How many of its class would go first if the request joined. */
  aheadOf ({ what, caller }: PlaceOrder, now: Instant): number {
    const own = this.queues[what].countAhead(caller, now)
    return what === 'next' ? own : own + this.queues.next.size
  }

  /** Charges the caller in all queues, since the time that its transactions take is taken from others as well. Negative to correct an estimate. */
  charge (caller: CallerId, ms: number): void {
    for (const kind of KINDS) this.queues[kind].charge(caller, ms)
  }

  tidy (): void {
    for (const kind of KINDS) this.queues[kind].removeIdleCallers()
  }
}

function toRequest ({ id, rank, caller, deadline, aim, what }: PlaceOrder): AdmissionRequest {
  return { id, rank, caller, deadline, aim, isTransaction: what === 'next' }
}
