/** Writes the reply to one command of a MySQL client. */

import { RawPacket } from './rawpacket.ts'
import type { Wire } from './wire.ts'

const AUTOCOMMIT = 2
const IN_TRANSACTION = 1
/** The largest length-coded number that is its own byte. */
const MAX_SINGLE_BYTE = 250
const TWO_BYTES_FOLLOW = 252

/** A parameter definition: catalog `def`, no names, a string of any length. */
const PARAMETER_DEFINITION = Buffer.from([3, 0x64, 0x65, 0x66, 0, 0, 0, 1, 0x3f, 0, 12, 45, 0, 255, 255, 0, 0, 253, 0, 0, 0, 0, 0])

/** The reply to one command. Nothing more is written after `ok`, `end` or `error`. */
export class Reply {
  private isOver = false
  /** The number of the next packet of this reply; the command had 0. */
  private sequence = 1
  /** Pending until the stream drains; shared by all batches of rows that wait for it. */
  private draining: Promise<void> | undefined

  private constructor (private readonly wire: Wire) {}

  static of (wire: Wire): Reply {
    return new Reply(wire)
  }

  /** Whether a result set was begun, after which only its rows, its end or an error may follow. */
  private hasHead = false

  get hasStarted (): boolean {
    return this.hasHead
  }

  get isDone (): boolean {
    return this.isOver
  }

  ok (counts: { affected?: number, insertId?: number, inTransaction?: boolean, message?: string } = {}): void {
    if (this.isOver) return
    this.write(() => this.wire.writeOk({
      affectedRows: counts.affected ?? 0,
      insertId: counts.insertId ?? 0,
      serverStatus: statusOf(counts.inTransaction ?? false),
      message: counts.message ?? ''
    }))
    this.finish()
  }

  /** Writes an encoded payload, such as an OK packet with session state. Does not finish the reply. */
  raw (payload: Uint8Array): void {
    if (this.isOver) return
    this.write(() => this.wire.writePacket(RawPacket.of(payload)))
  }

  head (columns: readonly Uint8Array[]): void {
    if (this.isOver) return
    this.hasHead = true
    this.wire.stream.cork()
    this.write(() => {
      this.wire.writePacket(RawPacket.of(lengthCoded(columns.length)))
      for (const column of columns) this.wire.writePacket(RawPacket.of(column))
      this.wire.writeEof(0, AUTOCOMMIT)
    })
    this.uncork()
  }

  /** Writes rows. Returns false if the client reads more slowly than rows arrive; await `waitForDrain` then. */
  rows (rows: readonly Uint8Array[]): boolean {
    if (this.isOver) return true
    this.wire.stream.cork()
    this.write(() => {
      for (const row of rows) this.wire.writePacket(RawPacket.of(row))
    })
    this.uncork()
    return !this.wire.stream.writableNeedDrain
  }

  /** Resolves when the write buffer has drained or the client has disconnected. */
  async waitForDrain (): Promise<void> {
    const { stream } = this.wire
    if (!stream.writableNeedDrain || stream.destroyed) return
    this.draining ??= new Promise<void>(resolve => {
      const onDrained = (): void => {
        stream.off('drain', onDrained)
        stream.off('close', onDrained)
        this.draining = undefined
        resolve()
      }
      stream.on('drain', onDrained)
      stream.on('close', onDrained)
    })
    await this.draining
  }

  /** The reply to COM_STMT_PREPARE. It has no column definitions: they come with the result of each execution. */
  prepareOk (id: number, parameters: number): void {
    if (this.isOver) return
    const header = Buffer.alloc(12)
    header.writeUInt32LE(id, 1)
    header.writeUInt16LE(parameters, 7)
    this.write(() => {
      this.wire.writePacket(RawPacket.of(header))
      for (let i = 0; i < parameters; i++) this.wire.writePacket(RawPacket.of(PARAMETER_DEFINITION))
      if (parameters > 0) this.wire.writeEof(0, AUTOCOMMIT)
    })
    this.finish()
  }

  end (inTransaction = false): void {
    if (this.isOver) return
    this.write(() => this.wire.writeEof(0, statusOf(inTransaction)))
    this.finish()
  }

  error (code: number, message: string): void {
    if (this.isOver) return
    this.write(() => this.wire.writeError({ code, message }))
    this.finish()
  }

  finish (): void {
    this.isOver = true
  }

  /**
   * mysql2 has one number for both directions and checks what arrives against
   * it. The next command begins at 0 and may arrive before this reply ends, so
   * the wire has the reply's number only while the reply writes.
   */
  private write (writePackets: () => void): void {
    this.wire.sequenceId = this.sequence
    writePackets()
    this.sequence = this.wire.sequenceId
    this.wire.sequenceId = 0
  }

  /**
   * Sends all packets of one event loop turn in a single write. `nextTick` alone
   * would run before the promise callbacks between the last row and the end of
   * the result, so it is scheduled from a microtask.
   */
  private uncork (): void {
    queueMicrotask(() => process.nextTick(() => this.wire.stream.uncork()))
  }
}

function statusOf (inTransaction: boolean): number {
  return AUTOCOMMIT | (inTransaction ? IN_TRANSACTION : 0)
}

/** A length-coded number of at most two bytes; a result has no more than 4096 columns. */
function lengthCoded (value: number): Buffer {
  if (value <= MAX_SINGLE_BYTE) return Buffer.from([value])
  return Buffer.from([TWO_BYTES_FOLLOW, value & 0xff, value >> 8])
}
