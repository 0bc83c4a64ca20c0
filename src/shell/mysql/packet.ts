/** A packet with a ready payload, in the form that a mysql2 connection writes. */

const HEADER = 4

/** Lets mysql2 write bytes that another MySQL peer made, without decoding them. */
export class RawPacket {
  private constructor (readonly buffer: Buffer) {}

  static of (payload: Uint8Array): RawPacket {
    const buffer = Buffer.allocUnsafe(payload.length + HEADER)
    buffer.set(payload, HEADER)
    return new RawPacket(buffer)
  }

  /** A command packet of the client side: the command's byte and its text. */
  static command (code: number, text: string): RawPacket {
    const size = Buffer.byteLength(text)
    const buffer = Buffer.allocUnsafe(HEADER + 1 + size)
    buffer[HEADER] = code
    buffer.write(text, HEADER + 1)
    return new RawPacket(buffer)
  }

  /** The name mysql2 calls; the length of the payload. */
  length (): number {
    return this.buffer.length - HEADER
  }

  writeHeader (sequenceId: number): void {
    this.buffer.writeUIntLE(this.length(), 0, 3)
    this.buffer[3] = sequenceId
  }
}
