/** The connections of a slot; mirrors src/shell/endpoint/slot.ts. */

import type { TransactionId } from '../../src/core/id/transaction.ts'
import type { Endpoint } from './endpoint.ts'
import type { Process } from './process.ts'
import { Wire } from './wire.ts'

interface Waiter {
  readonly give: (connection: Wire) => void
  readonly refuse: (err: Error) => void
}

const CONNECT_MS = 10
const CONNECT_TIMEOUT_MS = 1000

export class Slot {
  private readonly idle: Wire[] = []
  private readonly waiting: Waiter[] = []
  private readonly pinned = new Map<TransactionId, Wire>()
  private open = 0

  private constructor (private readonly process: Process, private readonly endpoint: Endpoint, private readonly limit: number) {}

  static create (process: Process, endpoint: Endpoint, limit: number): Slot {
    return new Slot(process, endpoint, limit)
  }

  get queued (): number {
    return this.waiting.length
  }

  async borrow (signal: AbortSignal): Promise<Wire> {
    signal.throwIfAborted()
    const idle = this.takeIdle()
    if (idle !== undefined) return idle
    return await new Promise((resolve, reject) => {
      const waiter = { give: resolve, refuse: reject }
      this.waiting.push(waiter)
      signal.addEventListener('abort', () => this.drop(waiter), { once: true })
      this.grow()
    })
  }

  giveBack (connection: Wire, isClean: boolean): void {
    if (!isClean || connection.isLost) {
      connection.destroy()
      this.open--
      return this.grow()
    }
    const next = this.waiting.shift()
    if (next !== undefined) next.give(connection)
    else this.idle.push(connection)
  }

  pin (transaction: TransactionId, connection: Wire): void {
    this.pinned.set(transaction, connection)
  }

  unpin (transaction: TransactionId): void {
    this.pinned.delete(transaction)
  }

  close (): void {
    for (const connection of [...this.idle, ...this.pinned.values()]) connection.destroy()
    this.idle.length = 0
    for (const waiter of this.waiting.splice(0)) waiter.refuse(new Error('the slot was given back'))
  }

  private takeIdle (): Wire | undefined {
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
    const { process, endpoint } = this
    const connection = process.network.connect(process.node, endpoint.node)
    process.ask(connection, CONNECT_TIMEOUT_MS, async () => await process.sleep(CONNECT_MS)).then(
      () => this.giveBack(Wire.of(process, endpoint, connection), true),
      (err: Error) => {
        connection.break()
        this.open--
        this.waiting.shift()?.refuse(err)
        this.grow()
      })
  }
}
