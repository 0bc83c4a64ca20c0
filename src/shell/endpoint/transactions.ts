/** The open transactions of one slot: each holds a connection, and runs one statement at a time. */

import type { TransactionId } from '../../core/id/transaction.ts'
import type { EndpointConnection } from './connection.ts'
import type { Slot } from './slot.ts'

interface OpenTransaction {
  readonly connection: EndpointConnection
  /** Gives up the statement that runs now; undefined between statements. */
  stop: (() => void) | undefined
  timer: NodeJS.Timeout | undefined
}

/** How long a transaction may wait for its next statement before it's rolled back: its locks and its connection are others' too. */
const IDLE_TIMEOUT_MS = 60_000

export class Transactions {
  private readonly open = new Map<TransactionId, OpenTransaction>()

  private constructor (private readonly slot: Slot, private readonly idleTimeoutMs: number) {}

  static create (slot: Slot, idleMs = IDLE_TIMEOUT_MS): Transactions {
    return new Transactions(slot, idleMs)
  }

  /**
   * The transaction's connection, for one statement; undefined when the
   * transaction isn't open here, `busy` while another statement of it runs.
   */
  take (id: TransactionId, stop: () => void): EndpointConnection | 'busy' | undefined {
    const open = this.open.get(id)
    if (open === undefined) return undefined
    if (open.stop !== undefined) return 'busy'
    clearTimeout(open.timer)
    open.stop = stop
    return open.connection
  }

  /** Holds the connection until the transaction's next statement. */
  keep (id: TransactionId, connection: EndpointConnection): void {
    clearTimeout(this.open.get(id)?.timer)
    const timer = setTimeout(() => this.release(id), this.idleTimeoutMs)
    this.open.set(id, { connection, stop: undefined, timer })
    this.slot.pin(id, connection)
  }

  /** Forgets a transaction whose connection is given back by its last statement. */
  end (id: TransactionId): void {
    clearTimeout(this.open.get(id)?.timer)
    this.open.delete(id)
    this.slot.unpin(id)
  }

  /**
   * Rolls a transaction back by closing its connection, which is the one way
   * that needs no answer. A running statement closes it itself: given back
   * twice, it would be counted twice against the slot's limit.
   */
  release (id: TransactionId): void {
    const open = this.open.get(id)
    if (open === undefined) return
    if (open.stop !== undefined) return open.stop()
    this.end(id)
    this.slot.returnConnection(open.connection, false)
  }
}
