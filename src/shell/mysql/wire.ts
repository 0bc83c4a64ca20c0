/** The parts of a mysql2 connection that the proxy uses and mysql2's type declarations omit. */

import type { Socket } from 'node:net'
import type { EventEmitter } from 'node:events'
import type { RawPacket } from './rawpacket.ts'

/** A received packet, as mysql2 parses it. Its payload is `buffer[start + 4 … end)`. */
interface IncomingPacket {
  readonly buffer: Buffer
  readonly start: number
  readonly end: number
  /** More than one if the payload was too large for a single packet. */
  readonly numPackets: number
  offset: number
  isError (): boolean
  isEOF (): boolean
  eofStatusFlags (): number
  asError (encoding: string): Error & { readonly errno: number, readonly sqlState?: string }
  readInt8 (): number
  readInt16 (): number
  readInt32 (): number
  readLengthCodedNumber (): number | null
  readLengthCodedString (encoding: string): string | null
  readString (length: number | undefined, encoding: string): string
  peekByte (): number
}

interface Command {
  execute (packet: IncomingPacket | undefined, wire: Wire): boolean
}

/** A connection of either side. `execute` of an added command is called for each packet until it returns true. */
export interface Wire extends EventEmitter {
  readonly stream: Socket
  sequenceId: number
  _command: Command | null
  /** Cache of the statements that this side has prepared at the other. */
  _statements?: unknown
  readonly clientHelloReply?: {
    readonly user: string
    readonly database?: string
    readonly connectAttributes?: Readonly<Record<string, string>>
  }
  addCommand (command: { execute: (packet: IncomingPacket | undefined, wire: Wire) => boolean }): void
  writePacket (packet: RawPacket): void
  writeOk (args?: { affectedRows?: number, insertId?: number, serverStatus?: number, message?: string }): void
  writeError (args: { code: number, message: string }): void
  writeEof (warnings?: number, status?: number): void
  serverHandshake (args: object): void
  pause (): void
  resume (): void
  end (): void
  destroy (): void
}
