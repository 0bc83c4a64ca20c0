/** What a frontend asks of a slot owner, whether it's in this process or in another. */

import type { Confirmed, Done, Run } from '../../gen/peer_pb.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { TransactionId } from '../../core/id/transaction.ts'

interface ResultSink {
  head (columns: readonly Uint8Array[]): void
  rows (rows: readonly Uint8Array[]): void
  /** The last call, made exactly once. */
  done (done: Done): void
}

interface RunningRequest {
  /** Lets the slot owner send so many more bytes of rows. */
  credit (bytes: number): void
  /** Gives the request up; `Sink.done` isn't called any more. */
  cancel (): void
}

export interface SlotPort {
  run (run: Run, sink: ResultSink): RunningRequest
  confirm (endpoint: EndpointId, term: Term, position: Position, ms: number): Promise<Confirmed>
  release (transaction: TransactionId): void
}
