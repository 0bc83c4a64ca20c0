/** Takes the answer to one query as it arrives from an endpoint. */

import type { OkPacket } from './okpacket.ts'

/** Exactly one of `ok`, `end`, `error` and `lost` is called, as the last call. */
export interface QuerySink {
  /** The column definitions, as raw packets. */
  head (columns: readonly Buffer[]): void
  /** One row of the text protocol, as a raw packet. */
  row (row: Buffer): void
  /** The statement ran and has no rows. */
  ok (packet: OkPacket): void
  /** The result is whole. `status` holds the server's flags. */
  end (status: number): void
  /** The endpoint refused the statement, or broke off its result, with a MySQL error. */
  error (code: number, message: string): void
  /** The connection was lost; whether the statement ran isn't known from here. */
  connectionLost (err: Error): void
}
