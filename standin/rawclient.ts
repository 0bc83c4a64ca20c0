/** A MySQL client without a library: it sends whatever packets it is told to, and tells what comes back. */

import { connect, type Socket } from 'node:net'

/** A packet that was received: its number, its first byte, and the text of an error. */
type Packet = readonly [number, number, string]

const HEADER_BYTES = 4
const QUERY = 3
/** PROTOCOL_41, SECURE_CONNECTION, PLUGIN_AUTH. */
const CAPABILITIES = 0x200 | 0x8000 | 0x80000
const UTF8MB4 = 45

export class RawClient {
  private received = Buffer.alloc(0)
  private isClosed = false
  private wake: () => void = () => undefined

  private constructor (readonly socket: Socket) {
    socket.on('data', (chunk: Buffer) => {
      this.received = Buffer.concat([this.received, chunk])
      this.wake()
    })
    socket.on('error', () => undefined)
    socket.on('close', () => {
      this.isClosed = true
      this.wake()
    })
  }

  /** Connects and sends the login of `app` without a password; `read` yields the answer to it. */
  static async open (port: number, socket = connect(port, '127.0.0.1')): Promise<RawClient> {
    const it = new RawClient(socket)
    await it.read()
    const fixed = Buffer.alloc(32)
    fixed.writeUInt32LE(CAPABILITIES)
    fixed[8] = UTF8MB4
    it.send(RawClient.packet([...fixed, ...Buffer.from('app\0'), 0, ...Buffer.from('mysql_native_password\0')], 1))
    return it
  }

  static async signIn (port: number): Promise<RawClient> {
    const it = await RawClient.open(port)
    await it.read()
    return it
  }

  static packet (payload: readonly number[], sequence = 0): Buffer {
    return Buffer.from([payload.length, 0, 0, sequence, ...payload])
  }

  static query (sql: string): Buffer {
    return RawClient.packet([QUERY, ...Buffer.from(sql)])
  }

  /** On loopback the bytes are at the other end when this returns, read there or not. */
  send (...packets: readonly Buffer[]): void {
    this.socket.write(Buffer.concat(packets))
  }

  async read (): Promise<Packet | 'closed'> {
    for (;;) {
      const size = this.received.length < HEADER_BYTES ? Infinity : this.received.readUIntLE(0, 3) + HEADER_BYTES
      if (this.received.length >= size) {
        const one = this.received.subarray(0, size)
        this.received = this.received.subarray(size)
        return [one[3]!, one[HEADER_BYTES]!, one.toString('latin1', HEADER_BYTES + 1).replace(/^.*#_{5}/s, '')]
      }
      if (this.isClosed) return 'closed'
      await new Promise<void>(resolve => { this.wake = resolve })
    }
  }

  close (): void {
    this.socket.destroy()
  }
}
