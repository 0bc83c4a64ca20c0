/** The bytes of a packet without its header. */

import type { Wire } from './wire.ts'

type IncomingPacket = NonNullable<Parameters<Parameters<Wire['addCommand']>[0]['execute']>[0]>

const HEADER_BYTES = 4

/** A copy of the payload; mysql2 reuses the buffer that a packet points into. */
export function payloadOf (packet: IncomingPacket): Buffer {
  return Buffer.from(packet.buffer.subarray(packet.start + HEADER_BYTES, packet.end))
}
