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
import { Opener } from './opener.ts'
import type { AdmissionRequest } from './request.ts'
import { Shares } from './shares.ts'

interface Running {
  readonly request: AdmissionRequest
  readonly since: Instant
  /** What its caller was charged at the start, until the true time is known. */
  readonly charged: number
}

/** A new request is taken in if so many times its own service time fits in after the wait, */
const MARGIN = 2
/** and if it waits no longer than this share of its time: a longer queue carries nothing more and leaves no room for a slow statement. */
const MOST_WAIT = 0.5
/** A request that waits is given up only when even this share of the estimated wait is too long: estimates swing. */
const HOPELESS = 0.5

/**
 * The state of one slot. Unlike most of the core it changes in place: it's
 * stepped three times a request, and its queues would be copied each time.
 */
export class Admission {
  private readonly shares: Shares
  private readonly backlog: Backlog
  private readonly opener: Opener
  private readonly running = new Map<number, Running>()
  private readonly waiting = new Map<number, AdmissionRequest>()
  /** Until when those that wait may stand behind others once they have missed their aim. */
  private readonly latest = new Map<number, Instant>()
  private idle = 0
  /** Since when requests wait and none has started. */
  private stuckSince = 0 as Instant
  private actions: AdmissionAction[] = []

  private constructor (private limits: Limits) {
    this.shares = Shares.create(limits)
    this.backlog = Backlog.create(limits, this.shares)
    this.opener = Opener.create(limits.opening)
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
  get open (): number {
    return this.idle + this.running.size
  }

  get counts (): { readonly idle: number, readonly running: number, readonly pending: number } {
    return { idle: this.idle, running: this.running.size, pending: this.opener.pending }
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
    this.shares.open = Math.max(1, this.open + this.opener.pending)
    this.take(event, now, chance)
    this.startAll(now, chance)
    this.openMore(now)
    return this.actions
  }

  private take (event: AdmissionEvent, now: Instant, chance: number): void {
    switch (event.kind) {
      case 'arrived': return this.arrived(event.request, now, chance)
      case 'finished': return this.finished(event.id, event.isUsable, now)
      case 'cancelled': return this.drop(event.id)
      case 'opened':
        if (event.isVacant === true) this.opener.found()
        else this.opener.succeeded()
        this.idle++
        return
      case 'added':
        this.idle++
        return
      case 'dialled': return this.opener.recovered()
      case 'dialFailed':
        this.opener.backOff(now, chance)
        return this.refuseStranded(now, chance)
      case 'dialRefused': return this.opener.rest(now, chance)
      case 'openFailed':
        this.opener.failed(now, chance)
        return this.refuseStranded(now, chance)
      case 'openRefused': return this.opener.refused(now, chance)
      case 'lost':
        this.idle = Math.max(0, this.idle - event.count)
        return
      case 'tick':
        this.shares.tick()
        return this.sweep(now, chance)
    }
  }

  private arrived (request: AdmissionRequest, now: Instant, chance: number): void {
    if (this.open === 0 && this.opener.isBackingOff(now)) return this.refuse(request, 'unreachable', now, chance)
    if (this.isTooLate(request, now)) return this.refuse(request, 'busy', now, chance)
    if (this.waiting.size >= this.limits.mostQueued) {
      const victim = this.backlog.leastWorth(request)
      this.refuse(victim, 'busy', now, chance)
      if (victim === request) return
    }
    if (this.waiting.size === 0) this.stuckSince = now
    this.waiting.set(request.id, request)
    this.latest.set(request.id, now + (request.deadline - now) * MOST_WAIT as Instant)
    this.backlog.line(request).queue.push(request)
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
    if (hasRoom && this.shares.mayStart(request.rank, request.isTransaction)) return false
    const line = this.backlog.line(request)
    const wait = this.backlog.waitMs(request, line.queue.ahead(request.caller, now), this.stalledMs(now), now)
    return wait > left * MOST_WAIT || wait + MARGIN * line.service.at(now) > left
  }

  private finished (id: number, isUsable: boolean, now: Instant): void {
    const ended = this.running.get(id)
    if (ended === undefined) return
    const { request, since, charged } = ended
    this.running.delete(id)
    this.shares.give(request)
    const line = this.backlog.line(request)
    if (isUsable) line.service.add(now - since, now)
    else line.service.addCutOff(now - since, now)
    line.queue.charge(request.caller, now - since - charged)
    if (isUsable) this.idle++
  }

  /**
   * With no connection left nothing that waits can run here, and its caller can be
   * served elsewhere; while one is open the failure only makes the slot smaller.
   */
  private refuseStranded (now: Instant, chance: number): void {
    if (this.open > 0 || this.opener.pending > 0) return
    for (const request of [...this.waiting.values()]) this.refuse(request, 'unreachable', now, chance)
  }

  /** Gives up what can't make its deadline any more. */
  private sweep (now: Instant, chance: number): void {
    if (this.waiting.size === 0) return this.backlog.tidy()
    const stalledMs = this.stalledMs(now)
    const late = [...this.backlog.all(now)].filter(([request, ahead]) => {
      if (this.isOvertaken(request, ahead, now)) return true
      const wait = this.backlog.waitMs(request, ahead, stalledMs, now)
      return wait * HOPELESS + this.backlog.line(request).service.at(now) > request.deadline - now
    })
    for (const [request] of late) this.refuse(request, 'busy', now, chance)
  }

  /**
   * Guard against callers who wait for all of their time and get nothing: while more come than is carried, those that can still make their aim
   * go first, and one that has missed it hardly has a turn. It waits for as long as one may be let in to wait, and is refused then.
   */
  private isOvertaken ({ id, aim }: AdmissionRequest, ahead: number, now: Instant): boolean {
    return aim !== undefined && now > aim && ahead > 0 && now > this.latest.get(id)!
  }

  private startAll (now: Instant, chance: number): void {
    while (this.idle > 0 && this.waiting.size > 0) {
      const request = this.backlog.shift(now)
      if (request === undefined) return
      this.forget(request.id)
      if (this.backlog.line(request).service.at(now) > request.deadline - now) this.answer(request, 'busy', now, chance)
      else this.start(request, now)
    }
  }

  private start (request: AdmissionRequest, now: Instant): void {
    const line = this.backlog.line(request)
    const charged = line.service.at(now)
    line.queue.charge(request.caller, charged)
    this.running.set(request.id, { request, since: now, charged })
    this.shares.take(request)
    this.idle--
    this.stuckSince = now
    this.actions.push({ kind: 'start', id: request.id })
  }

  private openMore (now: Instant): void {
    const { opener } = this
    while (this.idle === 0 && this.waiting.size > opener.pending && this.open + opener.pending < this.limits.connections) {
      if (!opener.take(now)) return
      this.actions.push({ kind: 'open' })
    }
  }

  private refuse (request: AdmissionRequest, reason: 'busy' | 'unreachable', now: Instant, chance: number): void {
    this.drop(request.id)
    this.answer(request, reason, now, chance)
  }

  private answer ({ id, rank, isTransaction }: AdmissionRequest, reason: 'busy' | 'unreachable', now: Instant, chance: number): void {
    const retryAfterMs = reason === 'busy'
      ? this.backlog.retryAfterMs({ rank, isTransaction }, now, chance)
      : Math.ceil(Math.max(1, this.opener.left(now)) * (1 + this.limits.jitter * chance))
    this.actions.push({ kind: 'refuse', id, reason, retryAfterMs })
  }

  private drop (id: number): void {
    const request = this.waiting.get(id)
    if (request === undefined) return
    this.forget(id)
    this.backlog.line(request).queue.remove(request)
  }

  private forget (id: number): void {
    this.waiting.delete(id)
    this.latest.delete(id)
  }

  /** For how long nothing has started although requests wait: a sign that the measured service time no longer holds. */
  private stalledMs (now: Instant): number {
    return this.waiting.size === 0 ? 0 : now - this.stuckSince
  }
}
