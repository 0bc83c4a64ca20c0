/** The bytes of a packet without its header. */

import type { Wire } from './wire.ts'

type Incoming = NonNullable<Parameters<Parameters<Wire['addCommand']>[0]['execute']>[0]>

const HEADER = 4

/** A copy of the payload; mysql2 reuses the buffer that a packet points into. */
export function payloadOf (packet: Incoming): Buffer {
  return Buffer.from(packet.buffer.subarray(packet.start + HEADER, packet.end))
}
