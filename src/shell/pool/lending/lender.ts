/** The connections of this host to one endpoint, lent to one operation at a time as admission decides. */

import { err, ok, type Result } from 'neverthrow'
import type { AdmissionAction } from '../../../core/admission/action.ts'
import { Admission } from '../../../core/admission/admission.ts'
import type { AdmissionEvent } from '../../../core/admission/event.ts'
import { Limits } from '../../../core/admission/limits.ts'
import type { Endpoint } from '../../../core/directory/endpoint.ts'
import type { CallerId } from '../../../core/id/caller.ts'
import type { TeamId } from '../../../core/id/team.ts'
import type { Instant } from '../../../core/id/instant.ts'
import { Thrift } from '../../../core/pool/placing/thrift.ts'
import type { Values } from '../../../core/session/values.ts'
import { clock } from '../clock.ts'
import type { Dialer } from './dialer.ts'
import type { DialFault } from './dialfault.ts'
import { IdleLinks } from './idlelinks.ts'
import type { EndpointLink } from './link.ts'
import type { Loans } from './loans.ts'

interface Wish {
  readonly rank: number
  /** Who shares fairly with others. */
  readonly caller: string
  /** Whose connections serve it; undefined where they serve anybody. */
  readonly team: TeamId | undefined
  /** Milliseconds in which the operation is to be done. */
  readonly leftMs: number
  readonly isTransaction: boolean
  /** A connection in the same state is preferred. */
  readonly values: Values
}

interface Refusal {
  readonly reason: 'busy' | 'unreachable'
  readonly retryAfterMs: number
}

interface Waiter {
  readonly wish: Wish
  readonly deadline: Instant
  readonly answer: (result: Result<EndpointLink, Refusal>) => void
}

interface Options {
  readonly endpoint: Endpoint
  readonly dialer: Dialer
  readonly connections: number
  readonly chance: () => number
  /** Whether connections are scarce as it begins. */
  readonly thrift: Thrift
  /** Told of each try to open a connection. */
  readonly onDialled: (outcome: 'opened' | DialFault) => void
}

/** How often waiting operations are looked through; a tenth of the shortest aim that callers have. */
const TICK_MS = 10
/** An opening takes a handshake and a place in the endpoint's queue; one that takes longer than this has failed. */
const DIAL_MS = 1000
/** The time to come back to an endpoint that is out of reach: about the time in which a successor is found. */
const OUT_MS = 500

export class Lender implements Loans {
  private readonly admission: Admission
  private readonly idle = IdleLinks.create()
  private readonly loans = new Map<EndpointLink, number>()
  private readonly waiting = new Map<number, Waiter>()
  private nextId = 1
  /** Unused connections that are given up unless they are lent before. */
  private readonly resting = new Map<EndpointLink, NodeJS.Timeout>()
  private timer: NodeJS.Timeout | undefined
  private isClosed = false
  private limit: number
  private thrift: Thrift

  private constructor (private readonly options: Options) {
    this.limit = options.connections
    this.thrift = options.thrift
    this.admission = Admission.create(limitsOf(options.connections))
  }

  static create (options: Options): Lender {
    return new Lender(options)
  }

  /** What an operation that comes now would find: those that wait, and 1 when no connection is free or can be opened. */
  get queued (): number {
    const { idle, running, pending } = this.admission.counts
    return this.admission.queued + (idle === 0 && running + pending >= this.limit ? 1 : 0)
  }

  /** For operators: `atWork` has the transactions in it that are between two statements. */
  get seen (): { readonly connections: number, readonly atWork: number, readonly waiting: readonly number[] } {
    const { open, counts, queuedByClass } = this.admission
    return { connections: open, atWork: counts.running, waiting: queuedByClass }
  }

  /** Whether a connection of the team is unused. */
  hasUnused (team: TeamId): boolean {
    return this.idle.hasFor(team)
  }

  get endpoint (): Endpoint {
    return this.options.endpoint
  }

  /** Takes another share of the endpoint's connections. */
  resize (connections: number): void {
    if (connections === this.limit) return
    this.limit = connections
    this.admission.resize(limitsOf(connections))
    while (this.admission.open > connections && this.idle.size > 0) this.drop(this.idle.all[0]!)
  }

  /** Resolves always: a connection that nobody else uses until it's given back, or why there is none. */
  async borrow (wish: Wish): Promise<Result<EndpointLink, Refusal>> {
    if (this.isClosed) return err({ reason: 'unreachable', retryAfterMs: 0 })
    return await new Promise(resolve => this.enqueue({ wish, deadline: clock.now() + wish.leftMs as Instant, answer: resolve }))
  }

  giveBack (link: EndpointLink): void {
    const id = this.loans.get(link)
    if (id === undefined) return
    this.loans.delete(link)
    const isUsable = link.isOpen && !link.isInTransaction && !this.isClosed && this.admission.open <= this.limit
    if (isUsable) this.idle.add(link)
    else link.close()
    this.step({ kind: 'finished', id, isUsable })
    if (isUsable) this.letRest(link)
  }

  /**
   * Closes the connections that nobody uses. Against connections that went
   * silent without a reset: one that gave no answer in time shows it, and the
   * others would each cost an operation its time.
   */
  distrust (): void {
    for (const link of this.idle.all) this.drop(link)
  }

  /** Tells all that wait that the endpoint is out of reach, as soon as that is known. */
  refuseWaiting (): void {
    for (const [id, waiter] of [...this.waiting]) {
      this.waiting.delete(id)
      this.step({ kind: 'cancelled', id })
      waiter.answer(err({ reason: 'unreachable', retryAfterMs: OUT_MS }))
    }
  }

  close (): void {
    this.isClosed = true
    clearInterval(this.timer)
    this.distrust()
    for (const [id, waiter] of this.waiting) {
      this.waiting.delete(id)
      waiter.answer(err({ reason: 'unreachable', retryAfterMs: 0 }))
    }
  }

  private enqueue (waiter: Waiter): void {
    const id = this.nextId++
    const { wish: { rank, caller, isTransaction }, deadline } = waiter
    this.waiting.set(id, waiter)
    this.step({ kind: 'arrived', request: { id, rank, caller: caller as CallerId, deadline, isTransaction } })
  }

  private step (event: AdmissionEvent): void {
    const actions = this.admission.step(event, clock.now(), this.options.chance())
    for (const action of actions) this.act(action)
    this.keepTicking()
  }

  private act (action: AdmissionAction): void {
    if (action.kind === 'open') return this.open()
    const waiter = this.waiting.get(action.id)
    this.waiting.delete(action.id)
    if (action.kind === 'refuse') {
      waiter?.answer(err({ reason: action.reason, retryAfterMs: action.retryAfterMs }))
      return
    }
    // Given up while it had its turn.
    if (waiter === undefined) return this.step({ kind: 'finished', id: action.id, isUsable: true })
    const { team, values } = waiter.wish
    const link = this.idle.take(team, values)
    if (link === undefined) this.openFor(action.id, waiter)
    else this.lend(link, action.id, waiter)
  }

  private lend (link: EndpointLink, id: number, { answer }: Waiter): void {
    this.loans.set(link, id)
    clearTimeout(this.resting.get(link))
    this.resting.delete(link)
    answer(ok(link))
  }

  /** A connection that serves one team is opened once it's known for which: whose turn it is, admission decides as soon as there is room. */
  private open (): void {
    const [first] = this.waiting.values()
    if (first?.wish.team !== undefined) return this.step({ kind: 'opened', isVacant: true })
    this.dial(undefined).then(dialled => {
      if (dialled.isErr()) return this.notOpened(dialled.error)
      this.idle.add(dialled.value)
      this.step({ kind: 'opened' })
    })
  }

  /**
   * Opens a connection for a request that was started without one of its team. Where no room is left, that of the connection that was
   * unused for the longest time is taken: closing it costs nothing, while its team may not come back for long.
   */
  private async openFor (id: number, waiter: Waiter): Promise<void> {
    if (this.idle.size > this.admission.counts.idle) this.makeRoom()
    const dialled = await this.dial(waiter.wish.team)
    if (dialled.isOk()) {
      this.lend(dialled.value, id, waiter)
      return this.step({ kind: 'dialled' })
    }
    this.step({ kind: 'finished', id, isUsable: false })
    // Room that is left is none any more, so that what comes isn't sent the same way at once.
    const vacant = this.admission.counts.idle - this.idle.size
    if (vacant > 0) this.step({ kind: 'lost', count: vacant })
    if (!isFull(dialled.error)) {
      waiter.answer(err({ reason: 'unreachable', retryAfterMs: OUT_MS }))
      return this.step({ kind: 'dialFailed' })
    }
    this.thrift = this.thrift.refused(clock.now())
    this.step({ kind: 'dialRefused' })
    if (this.isClosed) return waiter.answer(err({ reason: 'unreachable', retryAfterMs: 0 }))
    this.enqueue(waiter)
  }

  private makeRoom (): void {
    const { open, counts } = this.admission
    if (open + counts.pending < this.limit) this.step({ kind: 'added' })
    else this.idle.takeOldest()?.close()
  }

  private async dial (team: TeamId | undefined): Promise<Result<EndpointLink, DialFault>> {
    const { dialer, endpoint, onDialled } = this.options
    const dialled = await dialer.dial(endpoint, team, DIAL_MS)
    onDialled(dialled.isOk() ? 'opened' : dialled.error)
    if (dialled.isErr()) return dialled
    const link = dialled.value
    if (this.isClosed) {
      link.close()
      return err('unreachable')
    }
    this.idle.assign(link, team)
    link.onEnd(() => this.ended(link))
    return dialled
  }

  private notOpened (fault: DialFault): void {
    if (!isFull(fault)) return this.step({ kind: 'openFailed' })
    this.thrift = this.thrift.refused(clock.now())
    this.step({ kind: 'openRefused' })
  }

  /** While connections are scarce an unused one is given up soon. */
  private letRest (link: EndpointLink): void {
    const restMs = this.thrift.restMs(clock.now())
    if (restMs === undefined || !this.idle.has(link)) return
    const timer = setTimeout(() => this.drop(link), restMs)
    this.resting.set(link, timer)
  }

  private ended (link: EndpointLink): void {
    if (this.idle.remove(link)) this.step({ kind: 'lost', count: 1 })
  }

  private drop (link: EndpointLink): void {
    this.resting.delete(link)
    if (!this.idle.remove(link)) return
    link.close()
    this.step({ kind: 'lost', count: 1 })
  }

  /** The timer runs only while somebody waits. */
  private keepTicking (): void {
    const isNeeded = this.waiting.size > 0 && !this.isClosed
    if (isNeeded && this.timer === undefined) this.timer = setInterval(() => this.step({ kind: 'tick' }), TICK_MS)
    if (isNeeded || this.timer === undefined) return
    clearInterval(this.timer)
    this.timer = undefined
  }
}

/** An endpoint that takes no more connections lives, and has the next one free as soon as some host gives one back. */
function isFull (fault: DialFault): boolean {
  return fault === 'tooManyConnections' || fault === 'turnedAway'
}

/**
 * A host's share may be two connections, so the reserves that a slot of many
 * keeps for the urgent don't fit: a transaction may take any of them, but the
 * lowest class leaves one.
 */
function limitsOf (connections: number): Limits {
  const lowest = Math.max(1, connections - 1)
  return Limits.of(connections).with({ mostPinned: [connections, connections, lowest] })
}
