/** Copies the payload of a packet, without the header. */

import type { Wire } from './wire.ts'

type IncomingPacket = NonNullable<Parameters<Parameters<Wire['addCommand']>[0]['execute']>[0]>

const HEADER_BYTES = 4

/** Returns a copy, since mysql2 reuses the buffer behind a packet. */
export function payloadOf (packet: IncomingPacket): Buffer {
  return Buffer.from(packet.buffer.subarray(packet.start + HEADER_BYTES, packet.end))
}
