/** The connections of this host to one endpoint, lent to one operation at a time as admission decides. */

import { err, ok, type Result } from 'neverthrow'
import type { AdmissionAction } from '../../../core/admission/action.ts'
import { Admission } from '../../../core/admission/admission.ts'
import type { AdmissionEvent } from '../../../core/admission/event.ts'
import { Limits } from '../../../core/admission/limits.ts'
import type { Endpoint } from '../../../core/directory/endpoint.ts'
import type { CallerId } from '../../../core/id/caller.ts'
import type { Instant } from '../../../core/id/instant.ts'
import { Thrift } from '../../../core/pool/placing/thrift.ts'
import type { Values } from '../../../core/session/values.ts'
import { clock } from '../clock.ts'
import type { Dialer } from './dialer.ts'
import type { DialFault } from './dialfault.ts'
import type { EndpointLink } from './link.ts'
import type { Loans } from './loans.ts'

interface Wish {
  readonly rank: number
  readonly caller: string
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
  readonly values: Values
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
  private readonly idle: EndpointLink[] = []
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

  get endpoint (): Endpoint {
    return this.options.endpoint
  }

  /** Takes another share of the endpoint's connections. */
  resize (connections: number): void {
    if (connections === this.limit) return
    this.limit = connections
    this.admission.resize(limitsOf(connections))
    while (this.admission.open > connections && this.idle.length > 0) this.drop(this.idle[0]!)
  }

  /** Resolves always: a connection that nobody else uses until it's given back, or why there is none. */
  async borrow ({ rank, caller, leftMs, isTransaction, values }: Wish): Promise<Result<EndpointLink, Refusal>> {
    if (this.isClosed) return err({ reason: 'unreachable', retryAfterMs: 0 })
    const id = this.nextId++
    return await new Promise(resolve => {
      this.waiting.set(id, { values, answer: resolve })
      const deadline = clock.now() + leftMs as Instant
      this.step({ kind: 'arrived', request: { id, rank, caller: caller as CallerId, deadline, isTransaction } })
    })
  }

  giveBack (link: EndpointLink): void {
    const id = this.loans.get(link)
    if (id === undefined) return
    this.loans.delete(link)
    const isUsable = link.isOpen && !link.isInTransaction && !this.isClosed && this.admission.open <= this.limit
    if (isUsable) this.idle.push(link)
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
    for (const link of [...this.idle]) this.drop(link)
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

  private step (event: AdmissionEvent): void {
    const actions = this.admission.step(event, clock.now(), this.options.chance())
    for (const action of actions) this.act(action)
    this.keepTicking()
  }

  private act (action: AdmissionAction): void {
    if (action.kind === 'open') {
      this.open()
      return
    }
    const waiter = this.waiting.get(action.id)
    this.waiting.delete(action.id)
    if (action.kind === 'refuse') {
      waiter?.answer(err({ reason: action.reason, retryAfterMs: action.retryAfterMs }))
      return
    }
    const link = this.nearest(waiter?.values)
    this.loans.set(link, action.id)
    clearTimeout(this.resting.get(link))
    this.resting.delete(link)
    if (waiter === undefined) this.giveBack(link)
    else waiter.answer(ok(link))
  }

  /** The idle connection that takes the fewest commands to bring to the values; the last used among equals, so that the others may rest. */
  private nearest (values: Values | undefined): EndpointLink {
    let best = this.idle.length - 1
    let least = Infinity
    for (let i = this.idle.length - 1; i >= 0 && least > 0; i--) {
      const distance = values === undefined ? 0 : this.idle[i]!.values.distanceTo(values)
      if (distance >= least) continue
      best = i
      least = distance
    }
    return this.idle.splice(best, 1)[0]!
  }

  private async open (): Promise<void> {
    const dialled = await this.options.dialer.dial(this.options.endpoint, DIAL_MS)
    this.options.onDialled(dialled.isOk() ? 'opened' : dialled.error)
    if (dialled.isErr()) return this.notOpened(dialled.error)
    const link = dialled.value
    if (this.isClosed) return link.close()
    link.onEnd(() => this.ended(link))
    this.idle.push(link)
    this.step({ kind: 'opened' })
  }

  private notOpened (fault: DialFault): void {
    const isFull = fault === 'tooManyConnections' || fault === 'turnedAway'
    if (!isFull) return this.step({ kind: 'openFailed' })
    this.thrift = this.thrift.refused(clock.now())
    this.step({ kind: 'openRefused' })
  }

  /** While connections are scarce an unused one is given up soon. */
  private letRest (link: EndpointLink): void {
    const restMs = this.thrift.restMs(clock.now())
    if (restMs === undefined || !this.idle.includes(link)) return
    const timer = setTimeout(() => this.drop(link), restMs)
    this.resting.set(link, timer)
  }

  private ended (link: EndpointLink): void {
    const at = this.idle.indexOf(link)
    if (at < 0) return
    this.idle.splice(at, 1)
    this.step({ kind: 'lost', count: 1 })
  }

  private drop (link: EndpointLink): void {
    const at = this.idle.indexOf(link)
    this.resting.delete(link)
    if (at < 0) return
    this.idle.splice(at, 1)
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

/**
 * A host's share may be two connections, so the reserves that a slot of many
 * keeps for the urgent don't fit: a transaction may take any of them, but the
 * lowest class leaves one.
 */
function limitsOf (connections: number): Limits {
  const lowest = Math.max(1, connections - 1)
  return Limits.of(connections).with({ mostPinned: [connections, connections, lowest] })
}
