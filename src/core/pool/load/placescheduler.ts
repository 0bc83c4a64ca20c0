/**
 * The queue before one endpoint's places on this host.
 *
 * An endpoint works on a few statements at a time and queues more, first come
 * first served, where nobody knows classes or callers. So this host sends it no
 * more than its part of the places and keeps the rest here, in order: class by
 * class, within a class transactions that have begun first, then fair by caller.
 */

import { classes } from '../../admission/classes.ts'
import { ServiceTime } from '../../admission/servicetime.ts'
import type { Instant } from '../../id/instant.ts'
import type { PlaceAction } from './placeaction.ts'
import type { PlaceEvent } from './placeevent.ts'
import { PlaceQueue } from './placequeue.ts'
import type { PlaceOrder } from './placeorder.ts'

interface Held {
  readonly order: PlaceOrder
  readonly since: Instant
  /** What its caller was charged at the start, until the true time is known. */
  readonly charged: number
}

/** One start in so many goes to a lower class that waits, so that none starves. */
const MAX_SKIPPED_STARTS = 16
/**
 * Openings hold at most this part of the places, and get at most this part of the starts while statements wait. Without a bound a queue makes
 * callers lack connections, and the openings for these make the queue longer.
 */
const OPENING_SHARE = 1 / 4
/** So many times the mean gap between two starts counts as a stall. */
const STALL_FACTOR = 8
/** What waits is given up only when even this share of the estimated wait is too long: estimates swing. */
const GIVE_UP_FACTOR = 0.5

/** Changes in place: it's stepped twice a statement, and its queues would be copied each time. */
export class PlaceScheduler {
  private readonly queues = classes.map(() => PlaceQueue.create())
  private readonly openingTime = ServiceTime.create()
  /** Starts of others since the class had one while it waited. */
  private readonly skippedStarts = classes.map(() => 0)
  private readonly orders = new Map<number, PlaceOrder>()
  private readonly held = new Map<number, Held>()
  private openings = 0
  /** Starts of statements since the last opening. */
  private startsSinceOpening = Infinity
  /** Since when some wait and none has started. */
  private stalledSince = 0 as Instant
  private limit = 1
  private actions: PlaceAction[] = []

  private constructor () {}

  static create (): PlaceScheduler {
    return new PlaceScheduler()
  }

  /** Statements and openings at the endpoint. */
  get atWork (): number {
    return this.held.size
  }

  get waiting (): number {
    return this.orders.size
  }

  /** `limit`: places that this host may use now. */
  step (event: PlaceEvent, limit: number, now: Instant): readonly PlaceAction[] {
    this.actions = []
    this.limit = limit
    const ahead = event.kind === 'arrived' ? this.queueOf(event.order).aheadOf(event.order, now) : 0
    this.handle(event, now)
    this.startAll(now)
    if (event.kind === 'arrived') this.refuseIfTooLate(event.order, ahead, now)
    return this.actions
  }

  /** How long an opening holds a place, in milliseconds. */
  openingMs (now: Instant): number {
    return this.openingTime.at(now)
  }

  private handle (event: PlaceEvent, now: Instant): void {
    switch (event.kind) {
      case 'arrived':
        if (this.orders.size === 0) this.stalledSince = now
        this.orders.set(event.order.id, event.order)
        return this.queueOf(event.order).push(event.order)
      case 'finished': return this.finish(event.id, event.ending, now)
      case 'cancelled': return this.remove(this.orders.get(event.id))
      case 'unreachable':
        for (const order of [...this.orders.values()]) this.refuse(order)
        return
      case 'tick': return this.refuseExpired(now)
    }
  }

  private finish (id: number, ending: 'answered' | 'cutOff' | 'notSent', now: Instant): void {
    const held = this.held.get(id)
    if (held === undefined) return
    const { order, since, charged } = held
    this.held.delete(id)
    if (order.what === 'opening') this.openings--
    const ms = now - since
    const time = this.serviceTimeOf(order)
    if (ending === 'answered') time.add(ms, now)
    if (ending === 'cutOff') time.addCutOff(ms, now)
    this.queueOf(order).charge(order.caller, ms - charged)
  }

  private startAll (now: Instant): void {
    for (;;) {
      const order = this.held.size < this.limit ? this.nextOrder(now) : this.nextUrgentOrder(now)
      if (order === undefined) return
      this.remove(order)
      const charged = this.serviceTimeOf(order).at(now)
      if (charged > order.deadline - now) this.actions.push({ kind: 'refuse', id: order.id })
      else this.start(order, charged, now)
    }
  }

  private start (order: PlaceOrder, charged: number, now: Instant): void {
    this.queueOf(order).charge(order.caller, charged)
    this.held.set(order.id, { order, since: now, charged })
    if (order.what === 'opening') {
      this.openings++
      this.startsSinceOpening = 0
    } else this.startsSinceOpening++
    this.skippedStarts[order.rank] = 0
    for (let lower = order.rank + 1; lower < classes.length; lower++) {
      this.skippedStarts[lower] = this.queues[lower]!.size > 0 ? this.skippedStarts[lower]! + 1 : 0
    }
    this.stalledSince = now
    this.actions.push({ kind: 'start', id: order.id })
  }

  private nextOrder (now: Instant): PlaceOrder | undefined {
    for (let rank = classes.length - 1; rank > 0; rank--) {
      const owed = this.skippedStarts[rank]! >= MAX_SKIPPED_STARTS ? this.queues[rank]!.peek(this.isOpeningAllowed(rank), now) : undefined
      if (owed !== undefined) return owed
    }
    for (let rank = 0; rank < classes.length; rank++) {
      const order = this.queues[rank]!.peek(this.isOpeningAllowed(rank), now)
      if (order !== undefined) return order
    }
    return undefined
  }

  /**
   * The most urgent class may use one place beyond the limit while it has none. A host whose only place has a long statement would else keep
   * an urgent one waiting for its whole time, though other hosts' places come free meanwhile.
   */
  private nextUrgentOrder (now: Instant): PlaceOrder | undefined {
    if (this.held.size > this.limit) return undefined
    for (const { order: { rank } } of this.held.values()) {
      if (rank === 0) return undefined
    }
    return this.queues[0]!.peek(this.isOpeningAllowed(0), now)
  }

  /** An opening of the class goes before statements of lower ones, but only in its turn beside those of its own and of higher ones. */
  private isOpeningAllowed (rank: number): boolean {
    if (this.openings >= Math.max(1, Math.floor(this.limit * OPENING_SHARE))) return false
    return this.startsSinceOpening + 1 >= 1 / OPENING_SHARE || this.queues.every(({ statements }, other) => other > rank || statements === 0)
  }

  /** Refuses an order that has just come and waits, if it's known that it can't be done in its time. */
  private refuseIfTooLate (order: PlaceOrder, ahead: number, now: Instant): void {
    if (!this.orders.has(order.id)) return
    if (this.waitMs(order, ahead, now) + this.serviceTimeOf(order).at(now) > order.deadline - now) this.refuse(order)
  }

  /** Gives up what can't make its deadline any more: with an endpoint that hangs, no place comes back and nothing else would end the wait. */
  private refuseExpired (now: Instant): void {
    for (const line of this.queues) {
      line.tidy()
      const late = [...line.inTurn(now)].filter(([order, ahead]) =>
        this.waitMs(order, ahead, now) * GIVE_UP_FACTOR + this.serviceTimeOf(order).at(now) > order.deadline - now)
      for (const [order] of late) this.refuse(order)
    }
  }

  /** The time until an order with so many of its class ahead gets a place. */
  private waitMs (order: PlaceOrder, ahead: number, now: Instant): number {
    let work = ahead * this.queueOf(order).service.at(now)
    for (let higher = 0; higher < order.rank; higher++) work += this.queues[higher]!.size * this.queues[higher]!.service.at(now)
    // A class that is passed over has its turns nevertheless.
    const ownTurns = (ahead + 1) * MAX_SKIPPED_STARTS * this.queueOf(order).service.at(now)
    return Math.max(Math.min(work, ownTurns) / this.limit, (ahead + 1) * (now - this.stalledSince) / STALL_FACTOR)
  }

  private refuse (order: PlaceOrder): void {
    this.remove(order)
    this.actions.push({ kind: 'refuse', id: order.id })
  }

  private remove (order: PlaceOrder | undefined): void {
    if (order === undefined) return
    this.orders.delete(order.id)
    this.queueOf(order).remove(order)
  }

  private queueOf ({ rank }: PlaceOrder): PlaceQueue {
    return this.queues[rank]!
  }

  private serviceTimeOf (order: PlaceOrder): ServiceTime {
    return order.what === 'opening' ? this.openingTime : this.queueOf(order).service
  }
}
