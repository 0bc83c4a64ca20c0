/** The way to one endpoint: through this process's own slot or a peer's, whoever holds one now. */

import { create } from '@bufbuild/protobuf'
import { ConfirmedSchema, Done_Outcome as DoneOutcome, Run_Access as RunAccess, type Confirmed, type Done, type Run } from '../../gen/peer_pb.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { TransactionId } from '../../core/id/transaction.ts'
import { refusal } from '../peer/answer.ts'
import type { SlotPort } from '../peer/port.ts'

type Sink = Parameters<SlotPort['run']>[1]

/** How long a confirmation waits before it looks for the slot's new owner. */
const MOVED_MS = 20

/**
 * Sends each request to the owner that is best at that moment. A transaction
 * stays with the owner that began it, though the slot is being handed over:
 * only that one has its connection.
 */
export class EndpointPort implements SlotPort {
  private readonly transactions = new Map<TransactionId, SlotPort>()

  private constructor (private readonly best: () => SlotPort | undefined) {}

  static of (best: () => SlotPort | undefined): EndpointPort {
    return new EndpointPort(best)
  }

  run (req: Run, sink: Sink): ReturnType<SlotPort['run']> {
    const id = req.transaction as TransactionId
    const port = this.transactions.get(id) ?? this.best()
    if (port === undefined) {
      sink.done(refusal(req.id, 'noSlotOwner'))
      return { credit: () => undefined, cancel: () => undefined }
    }
    if (req.transaction === '') return port.run(req, sink)
    this.transactions.set(id, port)
    return port.run(req, {
      head: columns => sink.head(columns),
      rows: rows => sink.rows(rows),
      done: done => {
        if (endsTransaction(req, done)) this.transactions.delete(id)
        sink.done(done)
      }
    })
  }

  /**
   * A slot that moves while it's asked answers "no" for itself and not for its
   * endpoint; taken at its word, it would make a good write's outcome unknown.
   */
  async confirm (endpoint: EndpointId, term: Term, position: Position, ms: number): Promise<Confirmed> {
    const end = performance.now() + ms
    for (;;) {
      const port = this.best()
      const left = Math.ceil(end - performance.now())
      if (left <= 0) return create(ConfirmedSchema, { ok: false })
      const answer = await port?.confirm(endpoint, term, position, left)
      if (answer?.ok === true) return answer
      if (answer !== undefined && this.best() === port) return answer
      await new Promise(resolve => { setTimeout(resolve, MOVED_MS) })
    }
  }

  release (transaction: TransactionId): void {
    this.transactions.get(transaction)?.release(transaction)
    this.transactions.delete(transaction)
  }
}

function endsTransaction (req: Run, done: Done): boolean {
  const isLast = req.access === RunAccess.COMMIT || req.access === RunAccess.ROLLBACK
  return isLast || done.reason === 'lostTransaction' || done.outcome === DoneOutcome.NOT_RUN
}
