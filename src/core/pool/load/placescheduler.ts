/**
 * The queue for one endpoint's places on this host. A place is a permit for one statement or connection opening at the endpoint.
 *
 * An endpoint works on a few statements at a time and queues more, first come, first served, without knowing classes or callers. So this host sends it no
 * more than its share of the places and keeps the rest here: ordered by class, within a class transactions that have begun first, then fair by caller.
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
  /** What its caller was charged at the start, in milliseconds, until the true time is known. */
  readonly charged: number
}

/** One start out of this many goes to a lower class that waits, so that none starves. */
const MAX_SKIPPED_STARTS = 16
/**
 * Maximum fraction of the places that connection openings hold, and of the starts that they get while statements wait. Without a bound a queue causes a
 * lack of connections, and opening more of them makes the queue longer.
 */
const OPENING_SHARE = 1 / 4
/** A gap of this many times the mean one between two starts counts as a stall. */
const STALL_FACTOR = 8
/** A waiting request is given up only if even this fraction of the estimated wait is too long, since estimates vary. */
const GIVE_UP_FACTOR = 0.5

/** Changes in place: it's stepped twice per statement, and copying its queues each time would be expensive. */
export class PlaceScheduler {
  private readonly queues = classes.map(() => PlaceQueue.create())
  private readonly openingTime = ServiceTime.create()
  /** Starts of more urgent classes while the class waited, since its own last start. */
  private readonly skippedStarts = classes.map(() => 0)
  private readonly orders = new Map<number, PlaceOrder>()
  private readonly held = new Map<number, Held>()
  private openings = 0
  /** Statements started since the last connection opening. */
  private startsSinceOpening = Infinity
  /** Since when requests wait and none has started. */
  private stalledSince = 0 as Instant
  private limit = 1
  private actions: PlaceAction[] = []

  private constructor () {}

  static create (): PlaceScheduler {
    return new PlaceScheduler()
  }

  /** Statements and connection openings at the endpoint. */
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

  /** How long a connection opening holds a place, in milliseconds. */
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
      const overdue = this.skippedStarts[rank]! >= MAX_SKIPPED_STARTS ? this.queues[rank]!.peek(this.isOpeningAllowed(rank), now) : undefined
      if (overdue !== undefined) return overdue
    }
    for (let rank = 0; rank < classes.length; rank++) {
      const order = this.queues[rank]!.peek(this.isOpeningAllowed(rank), now)
      if (order !== undefined) return order
    }
    return undefined
  }

  /**
   * The most urgent class may use one place beyond the limit while it has none, so that a long statement in a host's only place doesn't block an urgent
   * one while places of other hosts become free.
   */
  private nextUrgentOrder (now: Instant): PlaceOrder | undefined {
    if (this.held.size > this.limit) return undefined
    for (const { order: { rank } } of this.held.values()) {
      if (rank === 0) return undefined
    }
    return this.queues[0]!.peek(this.isOpeningAllowed(0), now)
  }

  /** A connection opening of the class goes before statements of lower classes, but takes turns with those of its own class and higher ones. */
  private isOpeningAllowed (rank: number): boolean {
    if (this.openings >= Math.max(1, Math.floor(this.limit * OPENING_SHARE))) return false
    return this.startsSinceOpening + 1 >= 1 / OPENING_SHARE || this.queues.every(({ statements }, other) => other > rank || statements === 0)
  }

  /** Refuses a request that has just arrived if it has to wait and can't be done before its deadline. */
  private refuseIfTooLate (order: PlaceOrder, ahead: number, now: Instant): void {
    if (!this.orders.has(order.id)) return
    if (this.waitMs(order, ahead, now) + this.serviceTimeOf(order).at(now) > order.deadline - now) this.refuse(order)
  }

  /**
   * Refuses waiting requests that can't meet their deadlines any more: at an endpoint that hangs no place becomes free, and nothing else would end the
   * wait.
   */
  private refuseExpired (now: Instant): void {
    for (const queue of this.queues) {
      queue.tidy()
      const late = [...queue.inTurn(now)].filter(([order, ahead]) =>
        this.waitMs(order, ahead, now) * GIVE_UP_FACTOR + this.serviceTimeOf(order).at(now) > order.deadline - now)
      for (const [order] of late) this.refuse(order)
    }
  }

  /** The time until a request with this many of its class ahead gets a place. */
  private waitMs (order: PlaceOrder, ahead: number, now: Instant): number {
    let work = ahead * this.queueOf(order).service.at(now)
    for (let higher = 0; higher < order.rank; higher++) work += this.queues[higher]!.size * this.queues[higher]!.service.at(now)
    // A class that is skipped still has its guaranteed starts.
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
