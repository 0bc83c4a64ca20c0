/** Pool of this host's connections to one endpoint. Each is used by one operation at a time, in the order that admission decides. */

import { err, ok } from 'neverthrow'
import type { AdmissionAction } from '../../../core/admission/action.ts'
import { Admission } from '../../../core/admission/admission.ts'
import type { AdmissionEvent } from '../../../core/admission/event.ts'
import type { Endpoint } from '../../../core/directory/endpoint.ts'
import type { CallerId } from '../../../core/id/caller.ts'
import type { TeamId } from '../../../core/id/team.ts'
import type { Instant } from '../../../core/id/instant.ts'
import type { EndpointLoad } from '../../../core/pool/load/endpointload.ts'
import { ConnectionScarcity } from '../../../core/pool/placing/connectionscarcity.ts'
import { clock } from '../clock.ts'
import type { EndpointShare } from './endpointshare.ts'
import type { Dialer } from './dialer.ts'
import { EndpointDialer } from './endpointdialer.ts'
import type { DialFault } from './dialfault.ts'
import { IdleLinks } from './idlelinks.ts'
import type { EndpointLink } from './link.ts'
import type { ConnectionSource } from './connectionsource.ts'
import { isEndpointFull } from './isendpointfull.ts'
import { limitsOf } from './limitsof.ts'
import { OpeningQueue } from './openingqueue.ts'
import type { Places } from './places.ts'
import type { PlaceTicket } from './placeticket.ts'
import { IdleTimeouts } from './idletimeouts.ts'
import { Ticker } from './ticker.ts'
import type { BorrowRequest } from './borrowrequest.ts'

type BorrowResult = Parameters<BorrowRequest['answer']>[0]

interface Borrowing {
  readonly id: number
  readonly wish: BorrowRequest['wish']
  /** Latest start at which the operation meets its latency aim; undefined where aims aren't considered. */
  readonly aim: Instant | undefined
  /** The ticket of its last place request; undefined before the first. */
  ticket?: PlaceTicket
}

interface Options {
  readonly endpoint: Endpoint
  readonly dialer: Dialer
  readonly share: EndpointShare
  /** Creates the `Places` for this host's part of the endpoint's places. */
  readonly count: (places: number, queued: () => number) => Places
  readonly chance: () => number
  /** Initial state of how scarce connections are. */
  readonly scarcity: ConnectionScarcity
  /** Called with the outcome of each try to open a connection, and when it began. */
  readonly onDialEnded: (outcome: 'opened' | DialFault, sentAt: Instant) => void
}

/** Interval of checking waiting operations: a tenth of the shortest latency aim. */
const TICK_INTERVAL_MS = 10
/** Retry delay for an unreachable endpoint: about the time in which another primary is found. */
const UNREACHABLE_RETRY_MS = 500

export class ConnectionPool implements ConnectionSource {
  private readonly admission: Admission
  private readonly idle = IdleLinks.create()
  private readonly borrowings = new Map<EndpointLink, Borrowing>()
  private readonly waiting = new Map<number, BorrowRequest>()
  private nextId = 1
  /** Idle connections that are closed unless they are borrowed before. */
  private readonly idleTimeouts = IdleTimeouts.create(link => this.closeIdleLink(link))
  private readonly ticker = Ticker.create(TICK_INTERVAL_MS, () => this.step({ kind: 'tick' }))
  private isClosed = false
  private limit: number
  private scarcity: ConnectionScarcity
  /** Undefined where owners aren't assigned, or the endpoint doesn't report its places. */
  private places: Places | undefined
  private readonly openings = OpeningQueue.create<BorrowRequest>()
  private readonly dialer: EndpointDialer

  private constructor (private readonly options: Options) {
    const { share: { connections, hasSpareConnections }, endpoint, dialer, onDialEnded } = options
    this.dialer = EndpointDialer.create({ endpoint, dialer, onDialEnded, onOpened: (link, team) => this.idle.assign(link, team), onEnded: link => this.handleEnd(link) })
    this.limit = connections
    this.scarcity = options.scarcity
    this.admission = Admission.create(limitsOf(connections))
    this.countPlaces(hasSpareConnections ? endpoint.places : undefined)
  }

  static create (options: Options): ConnectionPool {
    return new ConnectionPool(options)
  }

  /** The queue that a new operation would find: those that wait for a connection or a place, plus 1 if no connection is idle or can be opened. */
  get queued (): number {
    const { idle, running, pending } = this.admission.counts
    return this.admission.queued + (this.places?.waiting ?? 0) + (idle === 0 && running + pending >= this.limit ? 1 : 0)
  }

  /** For operators; `atWork` includes open transactions that are between two statements. */
  get stats (): { readonly connections: number, readonly atWork: number, readonly waiting: readonly number[] } {
    const { openConnections: open, counts, queuedByClass } = this.admission
    return { connections: open, atWork: counts.running, waiting: queuedByClass }
  }

  /** Whether the team has an idle connection. */
  hasIdle (team: TeamId): boolean {
    return this.idle.hasTeam(team)
  }

  get endpoint (): Endpoint {
    return this.options.endpoint
  }

  /** This host's load at the endpoint; undefined where it isn't counted. */
  get load (): EndpointLoad | undefined {
    return this.places?.load()
  }

  requestPlace (link: EndpointLink, remainingMs: number): PlaceTicket | undefined {
    const borrowing = this.borrowings.get(link)
    if (borrowing === undefined || this.places === undefined) return undefined
    const { wish: { rank, caller, isTransaction }, aim } = borrowing
    const what = isTransaction && borrowing.ticket !== undefined ? 'next' : 'first'
    borrowing.ticket = this.places.requestPlace({ rank, caller, what, remainingMs, aim })
    return borrowing.ticket
  }

  /** Changes this host's share of the endpoint's connections. `places`: as the endpoint reports. */
  resize ({ connections, hasSpareConnections }: EndpointShare, places: number | undefined): void {
    this.countPlaces(hasSpareConnections ? places : undefined)
    if (connections === this.limit) return
    this.limit = connections
    this.admission.resize(limitsOf(connections))
    while (this.admission.openConnections > connections && this.idle.size > 0) this.closeIdleLink(this.idle.all[0]!)
  }

  /** Resolves with a connection for exclusive use until it's returned, or with why there is none; never rejects. */
  async borrow (wish: BorrowRequest['wish']): Promise<BorrowResult> {
    if (this.isClosed) return err({ reason: 'unreachable', retryAfterMs: 0 })
    const cancel = () => this.cancel(wish)
    wish.gone?.addEventListener('abort', cancel)
    const borrowed = await new Promise<BorrowResult>(resolve => this.enqueue({ id: this.nextId++, wish, deadline: clock.now() + wish.remainingMs as Instant, answer: resolve }))
    wish.gone?.removeEventListener('abort', cancel)
    return borrowed
  }

  returnLink (link: EndpointLink): void {
    const borrowing = this.borrowings.get(link)
    if (borrowing === undefined) return
    const { id, wish: { team } } = borrowing
    this.borrowings.delete(link)
    const isUsable = link.isOpen && !link.isInTransaction && !this.isClosed && this.admission.openConnections <= this.limit
    const next = isUsable ? this.openings.next(team) : undefined
    if (next !== undefined) this.handOut(link, next)
    else if (isUsable) this.idle.add(link)
    else link.close()
    this.step({ kind: 'finished', id, isUsable })
    if (this.idle.has(link)) this.idleTimeouts.rest(link, this.scarcity.idleTimeoutMs(clock.now()))
  }

  /** Closes the idle connections. After one timed out, the others may be dead as well without a reset, and would each cost an operation its time. */
  closeIdle (): void {
    for (const link of this.idle.all) this.closeIdleLink(link)
  }

  /** Refuses all waiting operations, because the endpoint is unreachable. */
  refuseWaiting (): void {
    for (const [id, request] of [...this.waiting]) {
      this.waiting.delete(id)
      this.step({ kind: 'cancelled', id })
      request.answer(err({ reason: 'unreachable', retryAfterMs: UNREACHABLE_RETRY_MS }))
    }
    this.places?.refuseWaiting()
    this.refuseTeamWaiters(UNREACHABLE_RETRY_MS)
  }

  close (): void {
    this.isClosed = true
    this.dialer.close()
    this.ticker.stop()
    this.places?.close()
    this.refuseTeamWaiters(0)
    this.closeIdle()
    for (const [id, request] of this.waiting) {
      this.waiting.delete(id)
      request.answer(err({ reason: 'unreachable', retryAfterMs: 0 }))
    }
  }

  private enqueue (request: BorrowRequest): void {
    const { id, wish: { rank, caller, isTransaction }, deadline } = request
    this.waiting.set(id, request)
    this.step({ kind: 'arrived', request: { id, rank, caller: caller as CallerId, deadline, aim: this.aimOf(request), isTransaction } })
  }

  /** Latency aims are considered only where this host counts places; elsewhere operations are served in order of arrival. */
  private aimOf ({ wish: { remainingMs, aimMs }, deadline }: Pick<BorrowRequest, 'wish' | 'deadline'>): Instant | undefined {
    return this.places === undefined || aimMs === undefined ? undefined : deadline - remainingMs + aimMs as Instant
  }

  /** Removes an operation from the queue that its caller no longer waits for. */
  private cancel (wish: BorrowRequest['wish']): void {
    const [id, request] = [...this.waiting].find(([, one]) => one.wish === wish) ?? []
    if (id === undefined || request === undefined) return
    this.waiting.delete(id)
    this.step({ kind: 'cancelled', id })
    request.answer(err({ reason: 'busy', retryAfterMs: 0 }))
  }

  private step (event: AdmissionEvent): void {
    const actions = this.admission.step(event, clock.now(), this.options.chance())
    for (const action of actions) this.act(action)
    if (this.waiting.size > 0 && !this.isClosed) this.ticker.run()
    else this.ticker.stop()
  }

  private act (action: AdmissionAction): void {
    if (action.kind === 'open') return this.open()
    const request = this.waiting.get(action.id)
    this.waiting.delete(action.id)
    if (action.kind === 'refuse') {
      request?.answer(err({ reason: action.reason, retryAfterMs: action.retryAfterMs }))
      return
    }
    // The operation was cancelled while its turn came.
    if (request === undefined) return this.step({ kind: 'finished', id: action.id, isUsable: true })
    const { team, values } = request.wish
    const link = this.idle.take(team, values)
    if (link === undefined) this.openFor(request)
    else this.handOut(link, request)
  }

  private handOut (link: EndpointLink, request: BorrowRequest): void {
    const { id, wish, answer } = request
    this.borrowings.set(link, { id, wish, aim: this.aimOf(request) })
    this.idle.recordUse(wish.team, clock.now())
    this.idleTimeouts.cancel(link)
    answer(ok(link))
  }

  /** Where connections belong to teams, only reports room to admission; the connection is opened when admission has chosen the operation. */
  private open (): void {
    const [first] = this.waiting.values()
    if (first?.wish.team !== undefined) return this.step({ kind: 'opened', isVacant: true })
    this.openings.openShared(this.places, first, async () => await this.dialer.dial(undefined)).then(dialled => {
      if (dialled.isErr()) return this.handleOpenFailure(dialled.error)
      this.idle.add(dialled.value)
      this.step({ kind: 'opened' })
    })
  }

  /** Opens a connection for an admitted operation whose team has none idle; closes an idle one of another team if there is no room. */
  private async openFor (request: BorrowRequest): Promise<void> {
    const { places } = this
    const ticket = places === undefined ? undefined : await this.waitForOpening(places, request)
    if (places !== undefined && ticket === undefined) return
    const { id, deadline } = request
    if (this.idle.size > this.admission.counts.idle) this.makeRoom()
    // An opening may take longer than the operation has; its answer doesn't wait for that, and the connection serves the next one.
    let isOver = false
    const timer = setTimeout(() => {
      isOver = true
      request.answer(err({ reason: 'busy', retryAfterMs: UNREACHABLE_RETRY_MS }))
    }, deadline - clock.now())
    const dialled = await this.dialer.dial(request.wish.team)
    clearTimeout(timer)
    ticket?.returnPlace(dialled.isOk() ? 'done' : isEndpointFull(dialled.error) ? 'notSent' : 'broken')
    if (dialled.isOk()) {
      this.handOut(dialled.value, request)
      if (isOver) this.returnLink(dialled.value)
      return this.step({ kind: 'dialled' })
    }
    this.step({ kind: 'finished', id, isUsable: false })
    // Gives up unused room, so that the next operations don't try to open a connection at once.
    const vacant = this.admission.counts.idle - this.idle.size
    if (vacant > 0) this.step({ kind: 'lost', count: vacant })
    if (!isEndpointFull(dialled.error)) {
      request.answer(err({ reason: 'unreachable', retryAfterMs: UNREACHABLE_RETRY_MS }))
      return this.step({ kind: 'dialFailed' })
    }
    this.scarcity = this.scarcity.refused(clock.now())
    this.step({ kind: 'dialRefused' })
    if (this.isClosed) return request.answer(err({ reason: 'unreachable', retryAfterMs: 0 }))
    this.enqueue({ ...request, id: this.nextId++ })
  }

  private makeRoom (): void {
    const { openConnections: open, counts } = this.admission
    if (open + counts.pending < this.limit) this.step({ kind: 'added' })
    else if (this.places === undefined) this.idle.takeOldest()?.close()
    else this.idle.takeLeastUsed(clock.now())?.close()
  }

  /** Resolves with a place for the opening, or with undefined if the request was served or refused otherwise. */
  private async waitForOpening (places: Places, request: BorrowRequest): Promise<PlaceTicket | undefined> {
    const { id, wish: { team }, answer } = request
    const borrowed = [...this.borrowings.values()].filter(({ wish }) => wish.team === team).length
    const hasRoom = this.admission.openConnections + this.admission.counts.pending < this.limit
    const turn = await this.openings.waitForTurn(places, request, { borrowed, openings: hasRoom ? 1 : 2 })
    if (typeof turn !== 'string') return turn
    if (turn === 'taken') return undefined
    this.step({ kind: 'finished', id, isUsable: true })
    answer(err({ reason: 'busy', retryAfterMs: UNREACHABLE_RETRY_MS }))
  }

  private refuseTeamWaiters (retryAfterMs: number): void {
    for (const { id, answer } of this.openings.takeAll()) {
      this.step({ kind: 'finished', id, isUsable: true })
      answer(err({ reason: 'unreachable', retryAfterMs }))
    }
  }

  private countPlaces (places: number | undefined): void {
    if (places !== undefined && this.places !== undefined) this.places.resize(places)
    else this.places = places === undefined ? undefined : this.options.count(places, () => this.admission.queued)
  }

  private handleOpenFailure (fault: DialFault): void {
    if (!isEndpointFull(fault)) return this.step({ kind: 'openFailed' })
    this.scarcity = this.scarcity.refused(clock.now())
    this.step({ kind: 'openRefused' })
  }

  private handleEnd (link: EndpointLink): void {
    this.borrowings.get(link)?.ticket?.cancel()
    if (this.idle.remove(link)) this.step({ kind: 'lost', count: 1 })
  }

  private closeIdleLink (link: EndpointLink): void {
    this.idleTimeouts.cancel(link)
    if (!this.idle.remove(link)) return
    link.close()
    this.step({ kind: 'lost', count: 1 })
  }
}
