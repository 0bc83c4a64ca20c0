/** A slot: a bounded connection pool to one endpoint; its admission decides who gets a connection. */

import type { AdmissionEvent } from '../../core/admission/event.ts'
import type { AdmissionAction } from '../../core/admission/action.ts'
import { Admission } from '../../core/admission/admission.ts'
import { classes } from '../../core/admission/classes.ts'
import { Limits } from '../../core/admission/limits.ts'
import type { CallerId } from '../../core/id/caller.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { TransactionId } from '../../core/id/transaction.ts'
import { EndpointConnection } from './connection.ts'
import { SlotRefusal } from './refusal.ts'

type Address = Parameters<typeof EndpointConnection.open>[0]

interface BorrowRequest {
  /** One of `classes`; any other value counts as `normal`. */
  readonly class: string
  readonly caller: string
  /** Milliseconds left until the request's deadline. */
  readonly deadlineMs: number
  /** Whether a transaction will pin the connection. */
  readonly isTransaction: boolean
}

interface Waiter {
  readonly give: (connection: EndpointConnection) => void
  readonly refuse: (err: Error) => void
}

const TICK_INTERVAL_MS = 20
/** Ticks without work after which the timer stops; by then the averages of the admission have decayed. */
const MAX_IDLE_TICKS = 50

/** Each connection has at most one borrower. Open connections and those being opened never exceed the limit. */
export class Slot {
  private readonly admission: Admission
  private readonly idle: EndpointConnection[] = []
  private readonly waiting = new Map<number, Waiter>()
  private readonly borrowed = new Map<EndpointConnection, number>()
  private readonly pinned = new Map<TransactionId, EndpointConnection>()
  private nextId = 1
  private timer: NodeJS.Timeout | undefined
  private idleTicks = 0
  private isClosed = false

  private constructor (private readonly address: Address, limits: Limits, private readonly chance: () => number) {
    this.admission = Admission.create(limits)
  }

  static create (address: Address, limit: number, chance: () => number): Slot {
    return new Slot(address, Limits.of(limit), chance)
  }

  /** The number of requests that wait for a connection. */
  get queued (): number {
    return this.admission.queued
  }

  /** The number of open transactions; each pins a connection. */
  get transactions (): number {
    return this.pinned.size
  }

  /**
   * Resolves with a connection for exclusive use. Rejects with a `SlotRefusal`,
   * or with another error when the request is cancelled or the slot is closed.
   * `onWait` is called only if the request has to wait, with a function that
   * cancels the request; this is cheaper than an AbortSignal for each request.
   */
  async borrow (wish: BorrowRequest, onWait: (cancel: () => void) => void): Promise<EndpointConnection> {
    if (this.isClosed) throw new Error('the slot was given back')
    const id = this.nextId++
    const rank = classes.findIndex(name => name === wish.class)
    return await new Promise((resolve, reject) => {
      this.waiting.set(id, { give: resolve, refuse: reject })
      this.step({
        kind: 'arrived',
        request: {
          id,
          rank: rank < 0 ? classes.indexOf('normal') : rank,
          caller: wish.caller as CallerId,
          deadline: performance.now() + wish.deadlineMs as Instant,
          isTransaction: wish.isTransaction
        }
      })
      if (this.waiting.has(id)) onWait(() => this.cancel(id))
    })
  }

  /** Returns a borrowed connection. It's closed if it was lost or isn't clean (may hold state of its borrower). */
  returnConnection (connection: EndpointConnection, isClean: boolean): void {
    const id = this.borrowed.get(connection)
    if (id === undefined) return
    this.borrowed.delete(connection)
    const isUsable = isClean && !connection.isLost && !this.isClosed
    if (!isUsable) connection.destroy()
    this.step({ kind: 'finished', id, isUsable }, isUsable ? connection : undefined)
  }

  pin (transaction: TransactionId, connection: EndpointConnection): void {
    this.pinned.set(transaction, connection)
  }

  pinnedBy (transaction: TransactionId): EndpointConnection | undefined {
    return this.pinned.get(transaction)
  }

  unpin (transaction: TransactionId): void {
    this.pinned.delete(transaction)
  }

  close (): void {
    this.isClosed = true
    clearInterval(this.timer)
    for (const connection of [...this.idle, ...this.pinned.values()]) connection.destroy()
    this.idle.length = 0
    for (const waiter of this.waiting.values()) waiter.refuse(new Error('the slot was given back'))
    this.waiting.clear()
  }

  /** Passes an event to the admission; `released` is the connection that the event makes idle. */
  private step (event: AdmissionEvent, released?: EndpointConnection): void {
    if (this.isClosed) return
    const now = performance.now() as Instant
    const lost = this.removeLost()
    if (lost > 0) this.performAll(this.admission.step({ kind: 'lost', count: lost }, now, this.chance()))
    if (released !== undefined) this.idle.push(released)
    this.performAll(this.admission.step(event, now, this.chance()))
    this.startTimer()
  }

  private performAll (actions: readonly AdmissionAction[]): void {
    for (const action of actions) this.perform(action)
  }

  private perform (action: AdmissionAction): void {
    if (action.kind === 'open') return this.open()
    const waiter = this.waiting.get(action.id)
    this.waiting.delete(action.id)
    if (action.kind === 'refuse') return waiter?.refuse(SlotRefusal.of(action.reason, action.retryAfterMs))
    const connection = this.idle.pop()!
    this.borrowed.set(connection, action.id)
    waiter?.give(connection)
  }

  private cancel (id: number): void {
    const waiter = this.waiting.get(id)
    if (waiter === undefined) return
    this.waiting.delete(id)
    this.step({ kind: 'cancelled', id })
    waiter.refuse(new Error('the request was given up'))
  }

  /** Removes idle connections that were lost and returns their number. */
  private removeLost (): number {
    const before = this.idle.length
    for (let i = before - 1; i >= 0; i--) {
      if (this.idle[i]!.isLost) this.idle.splice(i, 1)
    }
    return before - this.idle.length
  }

  private open (): void {
    EndpointConnection.open(this.address).then(
      connection => {
        if (this.isClosed) return connection.destroy()
        this.step({ kind: 'opened' }, connection)
      },
      () => this.step({ kind: 'openFailed' }))
  }

  private startTimer (): void {
    this.idleTicks = 0
    this.timer ??= setInterval(() => this.tick(), TICK_INTERVAL_MS)
  }

  private tick (): void {
    const isQuiet = this.waiting.size === 0 && this.borrowed.size === 0
    const ticks = isQuiet ? this.idleTicks + 1 : 0
    this.step({ kind: 'tick' })
    this.idleTicks = ticks
    if (ticks < MAX_IDLE_TICKS) return
    clearInterval(this.timer)
    this.timer = undefined
  }
}
