/** The open transaction of a caller's connection. */

import { randomUUID } from 'node:crypto'
import { Run_Access as RunAccess } from '../../gen/peer_pb.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { TransactionId } from '../../core/id/transaction.ts'
import type { SlotPort } from '../peer/slotport.ts'
import type { Target } from './target.ts'

/**
 * Stays with the slot owner that ran its BEGIN: another owner of the same
 * endpoint has other connections, and would know nothing of it.
 */
export class CallerTransaction {
  private constructor (
    readonly id: TransactionId,
    private readonly endpoint: EndpointId,
    private readonly port: SlotPort,
    /** The idempotency key that its BEGIN claimed; empty without one. */
    readonly once: string
  ) {}

  static begin (endpoint: EndpointId, port: SlotPort, once: string): CallerTransaction {
    return new CallerTransaction(randomUUID() as TransactionId, endpoint, port, once)
  }

  target (access: RunAccess): Target {
    return { kind: 'endpoint', endpoint: this.endpoint, access, transaction: this.id, port: this.port }
  }

  rollBack (): void {
    this.port.release(this.id)
  }
}
