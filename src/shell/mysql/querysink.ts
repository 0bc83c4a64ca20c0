/** Receives the reply to one query as it arrives from an endpoint. */

import type { OkPacket } from './okpacket.ts'

/** Exactly one of `ok`, `end`, `error` and `connectionLost` is called, as the last call. */
export interface QuerySink {
  /** The column definitions, as payloads of packets. */
  head (columns: readonly Buffer[]): void
  /** One row of the text protocol, as the payload of a packet. */
  row (row: Buffer): void
  /** The statement succeeded without a result set. */
  ok (packet: OkPacket): void
  /** The result set is complete. `status` holds the server's status flags. */
  end (status: number): void
  /** The endpoint rejected the statement or aborted its result with a MySQL error. */
  error (code: number, message: string): void
  /** The connection was lost; the statement may or may not have run. */
  connectionLost (err: Error): void
}
