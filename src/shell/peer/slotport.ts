/** The interface to a slot owner, in this process or in another. */

import type { Confirmed, Done, Run } from '../../gen/peer_pb.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { TransactionId } from '../../core/id/transaction.ts'

interface ResultSink {
  head (columns: readonly Uint8Array[]): void
  rows (rows: readonly Uint8Array[]): void
  /** Called last, and exactly once unless the request is cancelled. */
  done (done: Done): void
}

interface RunningRequest {
  /** Allows the slot owner to send this many more bytes of rows. */
  credit (bytes: number): void
  /** Cancels the request; `ResultSink.done` isn't called afterwards. */
  cancel (): void
}

export interface SlotPort {
  /** Runs a statement and streams its result to the sink. */
  run (run: Run, sink: ResultSink): RunningRequest
  /** Confirms that the endpoint is in `term` and has received `position`; `ok` is false if that isn't proved within `ms`. */
  confirm (endpoint: EndpointId, term: Term, position: Position, ms: number): Promise<Confirmed>
  /** Rolls back the transaction if it is open, and frees its connection. */
  release (transaction: TransactionId): void
}
