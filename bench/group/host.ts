/** A model of one host: its connections to the endpoints, lent as its policy decides, and what it has proved of the primary. */

import { Limits } from '../../src/core/admission/limits.ts'
import type { AdmissionAction } from '../../src/core/admission/action.ts'
import type { AdmissionEvent } from '../../src/core/admission/event.ts'
import type { AdmissionRequest } from '../../src/core/admission/request.ts'
import type { Instant } from '../../src/core/id/instant.ts'
import { LogProgress } from '../../src/core/pool/reads/logprogress.ts'
import { ReadBalancer } from '../../src/core/pool/reads/readbalancer.ts'
import { LogState } from '../../src/core/pool/reads/logstate.ts'
import type { Agenda } from '../load/agenda.ts'
import type { Policy } from '../load/policy.ts'
import type { ModelEndpoint } from './endpoint.ts'
import type { GroupPolicy } from './policy.ts'

interface Options {
  readonly agenda: Agenda
  readonly endpoints: readonly ModelEndpoint[]
  readonly policy: GroupPolicy
  readonly connections: number
  readonly chance: () => number
  readonly connectMs: number
}

interface Slot {
  readonly policy: Policy
  idle: number
  open: number
  usedAt: number
  refusedAt: Instant | undefined
}

type Lent = (isLent: boolean) => void

/** How often what waits is looked through. */
const TICK_MS = 10

/** One life of the host: a new one begins after each outage. */
export class ModelHost {
  progress = LogProgress.empty
  readonly standings: LogState[]
  readonly reads: ReadBalancer
  private readonly slots: readonly Slot[]
  private readonly waiting = new Map<number, Lent>()
  private readonly startedAt: Instant
  private isDead = false

  private constructor (private readonly options: Options) {
    const limits = Limits.of(options.connections).with({ maxPinned: [options.connections, options.connections, Math.max(1, options.connections - 1)] })
    this.slots = options.endpoints.map(() => ({ policy: options.policy.admission(limits), idle: 0, open: 0, usedAt: 0, refusedAt: undefined }))
    this.standings = options.endpoints.map(() => LogState.unknown)
    this.reads = ReadBalancer.create(options.policy.order)
    this.startedAt = options.agenda.now as Instant
    this.tick()
  }

  static start (options: Options): ModelHost {
    return new ModelHost(options)
  }

  /** What an operation that comes now would find at the endpoint. */
  queued (at: number): number {
    const { policy, idle, open } = this.slots[at]!
    return policy.queued + (idle === 0 && open >= this.options.connections ? 1 : 0)
  }

  borrow (at: number, request: AdmissionRequest, lent: Lent): void {
    if (this.isDead) return
    this.waiting.set(request.id, lent)
    this.step(at, { kind: 'arrived', request })
  }

  giveBack (at: number, id: number): void {
    if (this.isDead) return
    const slot = this.slots[at]!
    slot.idle++
    slot.usedAt = this.options.agenda.now
    this.step(at, { kind: 'finished', id, isUsable: true })
    this.rest(at)
  }

  cancel (at: number, id: number): void {
    if (!this.isDead && this.waiting.delete(id)) this.step(at, { kind: 'cancelled', id })
  }

  /** Its power is gone, and with it all that waits and runs. */
  die (): void {
    this.isDead = true
    this.slots.forEach((slot, at) => this.options.endpoints[at]!.abandon(slot.open))
  }

  private step (at: number, event: AdmissionEvent): void {
    const { agenda, chance } = this.options
    for (const action of this.slots[at]!.policy.step(event, agenda.now as Instant, chance())) this.act(at, action)
  }

  private act (at: number, action: AdmissionAction): void {
    if (action.kind === 'open') return this.open(at)
    const lent = this.waiting.get(action.id)
    this.waiting.delete(action.id)
    if (action.kind === 'start') this.slots[at]!.idle--
    lent?.(action.kind === 'start')
  }

  private open (at: number): void {
    const { agenda, endpoints, connectMs } = this.options
    const slot = this.slots[at]!
    const endpoint = endpoints[at]!
    const isTaken = endpoint.connect()
    if (isTaken) slot.open++
    const isWorked = isTaken && endpoint.work(connectMs, () => this.opened(at))
    if (isWorked) return
    if (isTaken) this.closed(at)
    agenda.add(1, () => {
      if (this.isDead) return
      slot.refusedAt = agenda.now as Instant
      this.step(at, { kind: 'openRefused' })
    })
  }

  private opened (at: number): void {
    if (this.isDead) return
    const slot = this.slots[at]!
    slot.idle++
    slot.usedAt = this.options.agenda.now
    this.step(at, { kind: 'opened' })
    this.rest(at)
  }

  private closed (at: number): void {
    this.slots[at]!.open--
    this.options.endpoints[at]!.disconnect()
  }

  /** Gives up one connection if none was used for as long as the policy says. */
  private rest (at: number): void {
    const { agenda, policy } = this.options
    const slot = this.slots[at]!
    const ms = policy.restMs(agenda.now as Instant, this.startedAt, slot.refusedAt)
    if (ms === undefined) return
    agenda.add(ms, () => {
      if (this.isDead || slot.idle === 0 || agenda.now - slot.usedAt < ms) return
      slot.idle--
      this.closed(at)
      this.step(at, { kind: 'lost', count: 1 })
    })
  }

  private tick (): void {
    this.options.agenda.add(TICK_MS, () => {
      if (this.isDead) return
      this.slots.forEach((_, at) => this.step(at, { kind: 'tick' }))
      this.tick()
    })
  }
}
