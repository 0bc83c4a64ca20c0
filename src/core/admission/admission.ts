/**
 * Admission to one slot: which request gets a connection next, which is
 * refused, and when connections are opened.
 *
 * A request gets a connection, or a final answer as soon as it's known that it
 * can't have one in time; nothing is held back until its deadline. Classes go
 * in their order with reserved connections, callers of a class share fairly,
 * and the queue is bounded.
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
  /** What its caller was charged at the start, until the true time is known. */
  readonly charged: number
}

/** A new request is taken in if so many times its own service time fits in after the wait, */
const MIN_SERVICE_TIMES = 2
/** and if it waits no longer than this share of its time: a longer queue carries nothing more and leaves no room for a slow statement. */
const MAX_WAIT_SHARE = 0.5
/** A request that waits is given up only when even this share of the estimated wait is too long: estimates swing. */
const SHED_WAIT_SHARE = 0.5

/**
 * The state of one slot. Unlike most of the core it changes in place: it's
 * stepped three times a request, and its queues would be copied each time.
 */
export class Admission {
  private readonly shares: ConnectionShares
  private readonly backlog: Backlog
  private readonly pacer: ConnectionPacer
  private readonly running = new Map<number, Running>()
  private readonly waiting = new Map<number, AdmissionRequest>()
  /** Until when those that wait may stand behind others once they have missed their aim. */
  private readonly waitLimits = new Map<number, Instant>()
  private idle = 0
  /** Since when requests wait and none has started. */
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

  /** Those that wait, by rank. */
  get queuedByClass (): readonly number[] {
    return classes.map((_, rank) => this.backlog.sizeOf(rank))
  }

  /** Connections that are open; those being opened aren't among them. */
  get openConnections (): number {
    return this.idle + this.running.size
  }

  get counts (): { readonly idle: number, readonly running: number, readonly pending: number } {
    return { idle: this.idle, running: this.running.size, pending: this.pacer.pending }
  }

  /** Takes other limits from now on; what runs beyond them isn't taken back. */
  resize (limits: Limits): void {
    this.limits = limits
    this.shares.limits = limits
    this.backlog.limits = limits
  }

  /** `chance` is a number in [0, 1) from the process's one seeded generator. */
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
      const victim = this.backlog.evictionCandidate(request)
      this.refuse(victim, 'busy', now, chance)
      if (victim === request) return
    }
    if (this.waiting.size === 0) this.stalledSince = now
    this.waiting.set(request.id, request)
    this.waitLimits.set(request.id, now + (request.deadline - now) * MAX_WAIT_SHARE as Instant)
    this.backlog.queueFor(request).requests.push(request)
  }

  /**
   * Whether it's known on arrival that the request can't be done by its
   * deadline. What can start at once, or on a connection opened for it, is let through whatever the estimate says: its
   * sample is what corrects an estimate that is too high.
   */
  private isTooLate (request: AdmissionRequest, now: Instant): boolean {
    const left = request.deadline - now
    if (left <= 0) return true
    const hasRoom = this.running.size + this.waiting.size < this.limits.connections
    if (hasRoom && this.shares.canStart(request.rank, request.isTransaction)) return false
    const line = this.backlog.queueFor(request)
    const wait = this.backlog.estimateWaitMs(request, line.requests.countAhead(request.caller, now), this.stalledMs(now), now)
    return wait > left * MAX_WAIT_SHARE || wait + MIN_SERVICE_TIMES * line.service.at(now) > left
  }

  private handleFinish (id: number, isUsable: boolean, now: Instant): void {
    const ended = this.running.get(id)
    if (ended === undefined) return
    const { request, since, charged } = ended
    this.running.delete(id)
    this.shares.give(request)
    const line = this.backlog.queueFor(request)
    if (isUsable) line.service.add(now - since, now)
    else line.service.addCutOff(now - since, now)
    line.requests.charge(request.caller, now - since - charged)
    if (isUsable) this.idle++
  }

  /**
   * With no connection left nothing that waits can run here, and its caller can be
   * served elsewhere; while one is open the failure only makes the slot smaller.
   */
  private refuseAllIfUnreachable (now: Instant, chance: number): void {
    if (this.openConnections > 0 || this.pacer.pending > 0) return
    for (const request of [...this.waiting.values()]) this.refuse(request, 'unreachable', now, chance)
  }

  /** Gives up what can't make its deadline any more. */
  private refuseLate (now: Instant, chance: number): void {
    if (this.waiting.size === 0) return this.backlog.removeIdleCallers()
    const stalledMs = this.stalledMs(now)
    const late = [...this.backlog.inServingOrder(now)].filter(([request, ahead]) => {
      if (this.isPastWaitLimit(request, ahead, now)) return true
      const wait = this.backlog.estimateWaitMs(request, ahead, stalledMs, now)
      return wait * SHED_WAIT_SHARE + this.backlog.queueFor(request).service.at(now) > request.deadline - now
    })
    for (const [request] of late) this.refuse(request, 'busy', now, chance)
  }

  /**
   * Guard against callers who wait for all of their time and get nothing: while more come than is carried, those that can still make their aim
   * go first, and one that has missed it hardly has a turn. It waits for as long as one may be let in to wait, and is refused then.
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
    const line = this.backlog.queueFor(request)
    const charged = line.service.at(now)
    line.requests.charge(request.caller, charged)
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

  /** For how long nothing has started although requests wait: a sign that the measured service time no longer holds. */
  private stalledMs (now: Instant): number {
    return this.waiting.size === 0 ? 0 : now - this.stalledSince
  }
}
