/** What of one class waits for a place at an endpoint. */

import { FairQueue } from '../../admission/fairqueue.ts'
import type { AdmissionRequest } from '../../admission/request.ts'
import { ServiceTime } from '../../admission/servicetime.ts'
import type { CallerId } from '../../id/caller.ts'
import type { Instant } from '../../id/instant.ts'
import type { PlaceOrder } from './placeorder.ts'

interface WaitingOrder {
  readonly order: PlaceOrder
  /** The same as its queue knows it. */
  readonly request: AdmissionRequest
}

const KINDS = ['next', 'first', 'opening'] as const

/** One queue for each kind, fair between callers. Changes in place, like the queues that it holds. */
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

  /** Statements that wait; openings aren't among them. */
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
   * The order whose turn it is. Transactions that have begun go first: what they hold is free the sooner, and work that is half done isn't
   * thrown away. Of the first that begins and the first opening, the one that came first.
   */
  peek (isOpeningAllowed: boolean, now: Instant): PlaceOrder | undefined {
    const next = this.queues.next.peek(now)
    if (next !== undefined) return this.waiting.get(next.id)?.order
    const first = this.queues.first.peek(now)
    const opening = isOpeningAllowed ? this.queues.opening.peek(now) : undefined
    const ids = [first, opening].flatMap(request => request === undefined ? [] : [request.id])
    return this.waiting.get(Math.min(...ids))?.order
  }

  /** Every order with the number of its class that goes before it. */
  * inTurn (now: Instant): Generator<readonly [PlaceOrder, number]> {
    let before = 0
    for (const kind of KINDS) {
      for (const [{ id }, ahead] of this.queues[kind].inServingOrder(now)) yield [this.waiting.get(id)!.order, before + ahead]
      before += this.queues[kind].size
    }
  }

  /** How many of its class go first if the order joins. */
  aheadOf ({ what, caller }: PlaceOrder, now: Instant): number {
    const own = this.queues[what].countAhead(caller, now)
    return what === 'next' ? own : own + this.queues.next.size
  }

  /** Charges the caller in all queues: time that its transactions take is missing to others as well. Negative to correct an estimate. */
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
