/**
 * Admission control of one slot: which request gets a connection next, which is refused, and when connections are opened.
 *
 * A request gets a connection, or is refused as soon as it's known that it can't get one in time. Classes have priorities and
 * reserved connections, callers of a class share fairly, and the queue is bounded.
 */

import type { Instant } from '../id/instant.ts'
import type { AdmissionAction } from './action.ts'
import { Backlog } from './backlog.ts'
import { classes } from './classes.ts'
import type { AdmissionEvent } from './event.ts'
import type { Limits } from './limits.ts'
import { ConnectionPacer } from './connectionpacer.ts'
import type { AdmissionRequest } from './request.ts'
import { ConnectionShares } from './connectionshares.ts'

interface Running {
  readonly request: AdmissionRequest
  readonly since: Instant
  /** Connection time charged to its caller at the start; corrected once the actual time is known. */
  readonly charged: number
}

/** A new request is accepted if this many of its service times fit between the estimated wait and its deadline. */
const MIN_SERVICE_TIMES = 2
/** A new request is accepted if its wait takes at most this share of its time: a longer queue doesn't raise throughput. */
const MAX_WAIT_SHARE = 0.5
/** A waiting request is refused when even this share of its estimated wait is too long; estimates fluctuate. */
const SHED_WAIT_SHARE = 0.5

/**
 * The admission state of one slot. Mutable, unlike most of the core: each request steps it three times, and its queues would be
 * copied each time.
 */
export class Admission {
  private readonly shares: ConnectionShares
  private readonly backlog: Backlog
  private readonly pacer: ConnectionPacer
  private readonly running = new Map<number, Running>()
  private readonly waiting = new Map<number, AdmissionRequest>()
  /** By request: until when it may wait behind others once it's past its soft deadline. */
  private readonly waitLimits = new Map<number, Instant>()
  private idle = 0
  /** Since when requests have been waiting without a start. */
  private stalledSince = 0 as Instant
  private actions: AdmissionAction[] = []

  private constructor (private limits: Limits) {
    this.shares = ConnectionShares.create(limits)
    this.backlog = Backlog.create(limits, this.shares)
    this.pacer = ConnectionPacer.create(limits.opening)
  }

  static create (limits: Limits): Admission {
    return new Admission(limits)
  }

  get queued (): number {
    return this.waiting.size
  }

  /** Number of waiting requests by rank. */
  get queuedByClass (): readonly number[] {
    return classes.map((_, rank) => this.backlog.sizeOf(rank))
  }

  /** Open connections, without those being opened. */
  get openConnections (): number {
    return this.idle + this.running.size
  }

  get counts (): { readonly idle: number, readonly running: number, readonly pending: number } {
    return { idle: this.idle, running: this.running.size, pending: this.pacer.pending }
  }

  /** Applies new limits; requests that run beyond them go on. */
  resize (limits: Limits): void {
    this.limits = limits
    this.shares.limits = limits
    this.backlog.limits = limits
  }

  /** Handles an event and returns the resulting actions. `chance` is a random number in [0, 1). */
  step (event: AdmissionEvent, now: Instant, chance: number): readonly AdmissionAction[] {
    this.actions = []
    this.shares.openOrOpening = Math.max(1, this.openConnections + this.pacer.pending)
    this.handle(event, now, chance)
    this.startWaiting(now, chance)
    this.openMore(now)
    return this.actions
  }

  private handle (event: AdmissionEvent, now: Instant, chance: number): void {
    switch (event.kind) {
      case 'arrived': return this.handleArrival(event.request, now, chance)
      case 'finished': return this.handleFinish(event.id, event.isUsable, now)
      case 'cancelled': return this.removeWaiting(event.id)
      case 'opened':
        if (event.isVacant === true) this.pacer.recordVacancy()
        else this.pacer.recordSuccess()
        this.idle++
        return
      case 'added':
        this.idle++
        return
      case 'dialled': return this.pacer.resetBackOff()
      case 'dialFailed':
        this.pacer.backOff(now, chance)
        return this.refuseAllIfUnreachable(now, chance)
      case 'dialRefused': return this.pacer.rest(now, chance)
      case 'openFailed':
        this.pacer.recordFailure(now, chance)
        return this.refuseAllIfUnreachable(now, chance)
      case 'openRefused': return this.pacer.refused(now, chance)
      case 'lost':
        this.idle = Math.max(0, this.idle - event.count)
        return
      case 'tick':
        this.shares.tick()
        return this.refuseLate(now, chance)
    }
  }

  private handleArrival (request: AdmissionRequest, now: Instant, chance: number): void {
    if (this.openConnections === 0 && this.pacer.isBackingOff(now)) return this.refuse(request, 'unreachable', now, chance)
    if (this.isTooLate(request, now)) return this.refuse(request, 'busy', now, chance)
    if (this.waiting.size >= this.limits.maxQueued) {
      const evicted = this.backlog.evictionCandidate(request)
      this.refuse(evicted, 'busy', now, chance)
      if (evicted === request) return
    }
    if (this.waiting.size === 0) this.stalledSince = now
    this.waiting.set(request.id, request)
    this.waitLimits.set(request.id, now + (request.deadline - now) * MAX_WAIT_SHARE as Instant)
    this.backlog.queueFor(request).requests.push(request)
  }

  /**
   * Whether the request can't be done by its deadline. A request that can start at once, or on a connection opened for it, is
   * accepted whatever the estimate: its sample corrects an estimate that is too high.
   */
  private isTooLate (request: AdmissionRequest, now: Instant): boolean {
    const left = request.deadline - now
    if (left <= 0) return true
    const hasRoom = this.running.size + this.waiting.size < this.limits.connections
    if (hasRoom && this.shares.canStart(request.rank, request.isTransaction)) return false
    const classQueue = this.backlog.queueFor(request)
    const waitMs = this.backlog.estimateWaitMs(request, classQueue.requests.countAhead(request.caller, now), this.stalledMs(now), now)
    return waitMs > left * MAX_WAIT_SHARE || waitMs + MIN_SERVICE_TIMES * classQueue.service.at(now) > left
  }

  private handleFinish (id: number, isUsable: boolean, now: Instant): void {
    const entry = this.running.get(id)
    if (entry === undefined) return
    const { request, since, charged } = entry
    this.running.delete(id)
    this.shares.give(request)
    const classQueue = this.backlog.queueFor(request)
    if (isUsable) classQueue.service.add(now - since, now)
    else classQueue.service.addCutOff(now - since, now)
    classQueue.requests.charge(request.caller, now - since - charged)
    if (isUsable) this.idle++
  }

  /**
   * Refuses all waiting requests if no connection is left, so that their callers can be served elsewhere. While one is open, a failure
   * only makes the slot smaller.
   */
  private refuseAllIfUnreachable (now: Instant, chance: number): void {
    if (this.openConnections > 0 || this.pacer.pending > 0) return
    for (const request of [...this.waiting.values()]) this.refuse(request, 'unreachable', now, chance)
  }

  /** Refuses the waiting requests that can't meet their deadlines any more. */
  private refuseLate (now: Instant, chance: number): void {
    if (this.waiting.size === 0) return this.backlog.removeIdleCallers()
    const stalledMs = this.stalledMs(now)
    const late = [...this.backlog.inServingOrder(now)].filter(([request, ahead]) => {
      if (this.isPastWaitLimit(request, ahead, now)) return true
      const waitMs = this.backlog.estimateWaitMs(request, ahead, stalledMs, now)
      return waitMs * SHED_WAIT_SHARE + this.backlog.queueFor(request).service.at(now) > request.deadline - now
    })
    for (const [request] of late) this.refuse(request, 'busy', now, chance)
  }

  /**
   * Whether the request is past its soft deadline and past its wait limit. In an overload requests before their soft deadlines go first, so
   * a late one hardly gets a turn; it's refused at its wait limit instead of waiting until its deadline.
   */
  private isPastWaitLimit ({ id, aim }: AdmissionRequest, ahead: number, now: Instant): boolean {
    return aim !== undefined && now > aim && ahead > 0 && now > this.waitLimits.get(id)!
  }

  private startWaiting (now: Instant, chance: number): void {
    while (this.idle > 0 && this.waiting.size > 0) {
      const request = this.backlog.shift(now)
      if (request === undefined) return
      this.forget(request.id)
      if (this.backlog.queueFor(request).service.at(now) > request.deadline - now) this.answer(request, 'busy', now, chance)
      else this.start(request, now)
    }
  }

  private start (request: AdmissionRequest, now: Instant): void {
    const classQueue = this.backlog.queueFor(request)
    const charged = classQueue.service.at(now)
    classQueue.requests.charge(request.caller, charged)
    this.running.set(request.id, { request, since: now, charged })
    this.shares.take(request)
    this.idle--
    this.stalledSince = now
    this.actions.push({ kind: 'start', id: request.id })
  }

  private openMore (now: Instant): void {
    const { pacer: opener } = this
    while (this.idle === 0 && this.waiting.size > opener.pending && this.openConnections + opener.pending < this.limits.connections) {
      if (!opener.tryStart(now)) return
      this.actions.push({ kind: 'open' })
    }
  }

  private refuse (request: AdmissionRequest, reason: 'busy' | 'unreachable', now: Instant, chance: number): void {
    this.removeWaiting(request.id)
    this.answer(request, reason, now, chance)
  }

  private answer ({ id, rank, isTransaction }: AdmissionRequest, reason: 'busy' | 'unreachable', now: Instant, chance: number): void {
    const retryAfterMs = reason === 'busy'
      ? this.backlog.retryAfterMs({ rank, isTransaction }, now, chance)
      : Math.ceil(Math.max(1, this.pacer.left(now)) * (1 + this.limits.jitter * chance))
    this.actions.push({ kind: 'refuse', id, reason, retryAfterMs })
  }

  private removeWaiting (id: number): void {
    const request = this.waiting.get(id)
    if (request === undefined) return
    this.forget(id)
    this.backlog.queueFor(request).requests.remove(request)
  }

  private forget (id: number): void {
    this.waiting.delete(id)
    this.waitLimits.delete(id)
  }

  /** For how long nothing has started although requests wait: a sign that the estimated service time is too low. */
  private stalledMs (now: Instant): number {
    return this.waiting.size === 0 ? 0 : now - this.stalledSince
  }
}
