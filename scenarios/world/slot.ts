/** The connections of a slot; mirrors src/shell/endpoint/slot.ts. */

import type { TransactionId } from '../../src/core/id/transaction.ts'
import type { Connection } from './connection.ts'
import type { Endpoint } from './endpoint.ts'
import type { Process } from './process.ts'

interface Waiter {
  readonly give: (connection: Connection) => void
  readonly refuse: (err: Error) => void
}

const CONNECT_MS = 10
const CONNECT_TIMEOUT_MS = 1000

export class Slot {
  private readonly idle: Connection[] = []
  private readonly waiting: Waiter[] = []
  private readonly pinned = new Map<TransactionId, Connection>()
  private open = 0

  private constructor (private readonly process: Process, private readonly endpoint: Endpoint, private readonly limit: number) {}

  static create (process: Process, endpoint: Endpoint, limit: number): Slot {
    return new Slot(process, endpoint, limit)
  }

  get queued (): number {
    return this.waiting.length
  }

  async borrow (): Promise<Connection> {
    const idle = this.takeIdle()
    if (idle !== undefined) return idle
    return await new Promise((resolve, reject) => {
      this.waiting.push({ give: resolve, refuse: reject })
      this.grow()
    })
  }

  giveBack (connection: Connection, isClean: boolean): void {
    if (!isClean || connection.isBroken) {
      connection.break()
      this.open--
      return this.grow()
    }
    const next = this.waiting.shift()
    if (next !== undefined) next.give(connection)
    else this.idle.push(connection)
  }

  pin (transaction: TransactionId, connection: Connection): void {
    this.pinned.set(transaction, connection)
  }

  pinnedBy (transaction: TransactionId): Connection | undefined {
    return this.pinned.get(transaction)
  }

  unpin (transaction: TransactionId): void {
    this.pinned.delete(transaction)
  }

  close (): void {
    for (const connection of [...this.idle, ...this.pinned.values()]) connection.break()
    this.idle.length = 0
    for (const waiter of this.waiting.splice(0)) waiter.refuse(new Error('the slot was given back'))
  }

  private takeIdle (): Connection | undefined {
    for (;;) {
      const connection = this.idle.pop()
      if (connection === undefined || !connection.isBroken) return connection
      this.open--
    }
  }

  private grow (): void {
    if (this.waiting.length === 0 || this.open >= this.limit) return
    this.open++
    const { process, endpoint } = this
    const connection = process.network.connect(process.node, endpoint.node)
    process.ask(connection, CONNECT_TIMEOUT_MS, async () => await process.sleep(CONNECT_MS)).then(
      () => this.giveBack(connection, true),
      (err: Error) => {
        connection.break()
        this.open--
        this.waiting.shift()?.refuse(err)
        this.grow()
      })
  }
}
