/** The open transactions of one slot: each has a connection and runs one statement at a time. */

import type { TransactionId } from '../../core/id/transaction.ts'
import type { EndpointConnection } from './connection.ts'
import type { Slot } from './slot.ts'

interface OpenTransaction {
  readonly connection: EndpointConnection
  /** Aborts the running statement; undefined between statements. */
  stop: (() => void) | undefined
  timer: NodeJS.Timeout | undefined
}

/** A transaction without a statement for this long is rolled back, so that it doesn't block locks and a connection. */
const IDLE_TIMEOUT_MS = 60_000

/** Maps transactions to their connections and rolls back idle ones. */
export class Transactions {
  private readonly open = new Map<TransactionId, OpenTransaction>()

  private constructor (private readonly slot: Slot, private readonly idleTimeoutMs: number) {}

  static create (slot: Slot, idleMs = IDLE_TIMEOUT_MS): Transactions {
    return new Transactions(slot, idleMs)
  }

  /**
   * Returns the transaction's connection for one statement; undefined when the
   * transaction isn't open here, `busy` while another of its statements runs.
   * `stop` is called if the transaction is released during the statement.
   */
  take (id: TransactionId, stop: () => void): EndpointConnection | 'busy' | undefined {
    const open = this.open.get(id)
    if (open === undefined) return undefined
    if (open.stop !== undefined) return 'busy'
    clearTimeout(open.timer)
    open.stop = stop
    return open.connection
  }

  /** Keeps the connection for the transaction's next statement. */
  keep (id: TransactionId, connection: EndpointConnection): void {
    clearTimeout(this.open.get(id)?.timer)
    const timer = setTimeout(() => this.release(id), this.idleTimeoutMs)
    this.open.set(id, { connection, stop: undefined, timer })
    this.slot.pin(id, connection)
  }

  /** Removes a transaction; the caller returns its connection. */
  end (id: TransactionId): void {
    clearTimeout(this.open.get(id)?.timer)
    this.open.delete(id)
    this.slot.unpin(id)
  }

  /**
   * Rolls a transaction back by closing its connection, which needs no answer
   * of the server. If a statement runs, `stop` makes it close the connection;
   * returning it here too would count it twice against the slot's limit.
   */
  release (id: TransactionId): void {
    const open = this.open.get(id)
    if (open === undefined) return
    if (open.stop !== undefined) return open.stop()
    this.end(id)
    this.slot.returnConnection(open.connection, false)
  }
}
