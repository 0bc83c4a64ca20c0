/** A packet with an encoded payload, in the form that a mysql2 connection writes. */

const HEADER_BYTES = 4

/** Lets mysql2 write a payload from another MySQL peer without decoding it. */
export class RawPacket {
  private constructor (readonly buffer: Buffer) {}

  static of (payload: Uint8Array): RawPacket {
    const buffer = Buffer.allocUnsafe(payload.length + HEADER_BYTES)
    buffer.set(payload, HEADER_BYTES)
    return new RawPacket(buffer)
  }

  /** A client command: the command byte followed by its text. */
  static command (code: number, text: string): RawPacket {
    const size = Buffer.byteLength(text)
    const buffer = Buffer.allocUnsafe(HEADER_BYTES + 1 + size)
    buffer[HEADER_BYTES] = code
    buffer.write(text, HEADER_BYTES + 1)
    return new RawPacket(buffer)
  }

  /** Payload size in bytes. The name is the one that mysql2 calls. */
  length (): number {
    return this.buffer.length - HEADER_BYTES
  }

  writeHeader (sequenceId: number): void {
    this.buffer.writeUIntLE(this.length(), 0, 3)
    this.buffer[3] = sequenceId
  }
}
