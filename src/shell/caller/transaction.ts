/** A transaction on a caller's connection. */

import { randomUUID } from 'node:crypto'
import { Run_Access as RunAccess } from '../../gen/peer_pb.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { TransactionId } from '../../core/id/transaction.ts'
import type { SlotPort } from '../peer/slotport.ts'
import type { Target } from './target.ts'

/**
 * A transaction is bound to the slot owner that ran its BEGIN, since that owner
 * holds the endpoint connection on which the transaction is open.
 */
export class CallerTransaction {
  private constructor (
    readonly id: TransactionId,
    private readonly endpoint: EndpointId,
    private readonly port: SlotPort,
    /** The idempotency key of its BEGIN; empty without one. */
    readonly once: string
  ) {}

  static begin (endpoint: EndpointId, port: SlotPort, once: string): CallerTransaction {
    return new CallerTransaction(randomUUID() as TransactionId, endpoint, port, once)
  }

  /** The target of the transaction's next statement. */
  target (access: RunAccess): Target {
    return { kind: 'endpoint', endpoint: this.endpoint, access, transaction: this.id, port: this.port }
  }

  /** Asks the slot owner to roll back and release the connection. */
  rollBack (): void {
    this.port.release(this.id)
  }
}
