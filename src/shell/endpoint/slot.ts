/** A slot: the right to a number of connections to one endpoint, and the queue before them. */

import type { TransactionId } from '../../core/id/transaction.ts'
import { EndpointConnection } from './connection.ts'

type Address = Parameters<typeof EndpointConnection.open>[0]

interface Waiter {
  readonly give: (connection: EndpointConnection) => void
  readonly refuse: (err: Error) => void
  readonly signal: AbortSignal
}

/** Lends its connections, one borrower each. Never opens more than its limit, those being opened included. */
export class Slot {
  private readonly idle: EndpointConnection[] = []
  private readonly waiting: Waiter[] = []
  private readonly pinned = new Map<TransactionId, EndpointConnection>()
  private open = 0

  private constructor (private readonly address: Address, private readonly limit: number) {}

  static create (address: Address, limit: number): Slot {
    return new Slot(address, limit)
  }

  get queued (): number {
    return this.waiting.length
  }

  /** Open transactions, each with a connection of its own. */
  get transactions (): number {
    return this.pinned.size
  }

  /** Resolves with a connection that nobody else uses; rejects when none can be had before the signal is aborted. */
  async borrow (signal: AbortSignal): Promise<EndpointConnection> {
    signal.throwIfAborted()
    const idle = this.takeIdle()
    if (idle !== undefined) return idle
    return await new Promise((resolve, reject) => {
      const waiter: Waiter = { give: resolve, refuse: reject, signal }
      this.waiting.push(waiter)
      signal.addEventListener('abort', () => this.drop(waiter), { once: true })
      this.grow()
    })
  }

  /** Takes a connection back. One that was lost, or may hold state of its borrower, is closed instead of lent again. */
  giveBack (connection: EndpointConnection, isClean: boolean): void {
    if (!isClean || connection.isLost) {
      connection.destroy()
      this.open--
      return this.grow()
    }
    const next = this.waiting.shift()
    if (next !== undefined) return next.give(connection)
    this.idle.push(connection)
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
    for (const connection of [...this.idle, ...this.pinned.values()]) connection.destroy()
    this.idle.length = 0
    for (const waiter of this.waiting.splice(0)) waiter.refuse(new Error('the slot was given back'))
  }

  private takeIdle (): EndpointConnection | undefined {
    for (;;) {
      const connection = this.idle.pop()
      if (connection === undefined || !connection.isLost) return connection
      this.open--
    }
  }

  private drop (waiter: Waiter): void {
    const at = this.waiting.indexOf(waiter)
    if (at < 0) return
    this.waiting.splice(at, 1)
    waiter.refuse(new Error('no connection became free in time'))
  }

  private grow (): void {
    if (this.waiting.length === 0 || this.open >= this.limit) return
    this.open++
    EndpointConnection.open(this.address).then(
      connection => this.giveBack(connection, true),
      (err: Error) => {
        this.open--
        this.waiting.shift()?.refuse(err)
        this.grow()
      })
  }
}
