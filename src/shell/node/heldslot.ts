/** A slot that this process holds. */

import type { Confirmed, Run } from '../../gen/peer_pb.ts'
import type { Sample } from '../../core/group/sample.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { TransactionId } from '../../core/id/transaction.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import { statementKind } from '../../core/routing/statementkind.ts'
import type { SlotOwner } from '../endpoint/owner.ts'
import { refusal } from '../peer/refusal.ts'
import type { SlotPort } from '../peer/slotport.ts'

type Sink = Parameters<SlotPort['run']>[1]
type Running = ReturnType<SlotPort['run']>

/** How long a slot in handover still accepts new requests, while the peers learn of the handover. */
const HANDOVER_GRACE_MS = 100
const NOOP_RUNNING: Running = { credit: () => undefined, cancel: () => undefined }

/** Tracks the requests in progress on the slot, so that a handover closes it when none is left. */
export class HeldSlot implements SlotPort {
  private inProgress = 0
  private phase: 'open' | 'handingOver' | 'closing' = 'open'
  private wake: (() => void) | undefined

  private constructor (private readonly owner: SlotOwner, private readonly stop: AbortController) {}

  static of (owner: SlotOwner, stop: AbortController): HeldSlot {
    return new HeldSlot(owner, stop)
  }

  /** False as soon as a handover begins. */
  get isOpen (): boolean {
    return this.phase === 'open'
  }

  /** Whether requests outside an open transaction are accepted. */
  get acceptsNew (): boolean {
    return this.phase !== 'closing'
  }

  run (req: Run, sink: Sink): Running {
    if (!this.acceptsNew && !this.isOfOpenTransaction(req)) {
      sink.done(refusal(req.id, 'noSlotOwner', 'the slot is being handed over'))
      return NOOP_RUNNING
    }
    const settle = this.trackRequest()
    const running = this.owner.run(req, {
      head: columns => sink.head(columns),
      rows: rows => sink.rows(rows),
      done: done => {
        sink.done(done)
        settle()
      }
    })
    return {
      credit: bytes => running.credit(bytes),
      cancel: () => {
        running.cancel()
        settle()
      }
    }
  }

  async confirm (_endpoint: EndpointId, term: Term, position: Position, ms: number): Promise<Confirmed> {
    const settle = this.trackRequest()
    return await this.owner.confirm(term, position, ms).finally(settle)
  }

  release (transaction: TransactionId): void {
    this.owner.release(transaction)
    this.wake?.()
  }

  applySample (sample: Sample): void {
    this.owner.applySample(sample)
  }

  /** Sets whether the configuration marks the endpoint as leaving. */
  setEndpointLeaving (isLeaving: boolean): void {
    this.owner.setLeaving(isLeaving)
  }

  /** Waits until requests and transactions in progress have ended, then closes the slot's connections. New requests are accepted for HANDOVER_GRACE_MS. */
  async handOver (): Promise<void> {
    if (this.phase !== 'open') return
    this.phase = 'handingOver'
    await new Promise(resolve => { setTimeout(resolve, HANDOVER_GRACE_MS) })
    this.phase = 'closing'
    while (this.inProgress > 0 || this.owner.openTransactions > 0) {
      await new Promise<void>(resolve => { this.wake = resolve })
    }
    this.close()
  }

  /** Closes the slot's connections without waiting for requests in progress. */
  close (): void {
    this.phase = 'closing'
    this.stop.abort()
  }

  private isOfOpenTransaction (req: Run): boolean {
    return req.transaction !== '' && statementKind(req.sql) !== 'begin'
  }

  /** Counts a request as in progress. Returns the function that ends it; calls after the first do nothing. */
  private trackRequest (): () => void {
    let isOver = false
    this.inProgress++
    return () => {
      if (isOver) return
      isOver = true
      this.inProgress--
      this.wake?.()
    }
  }
}
