/** OK packets: counts, status flags, and the replication position of a write. */

import { Token } from '../../core/token.ts'
import type { Wire } from './wire.ts'

type IncomingPacket = NonNullable<Parameters<Parameters<Wire['addCommand']>[0]['execute']>[0]>

const SESSION_STATE_CHANGED = 0x4000
const TRACK_GTIDS = 3

/** The contents of an OK packet. */
export class OkPacket {
  private constructor (
    readonly affected: number,
    readonly insertId: number,
    readonly status: number,
    /** Position of the write in the replication log; undefined if nothing was written. */
    readonly token: Token | undefined
  ) {}

  /** Decodes a packet. Throws a RangeError if it is truncated or a length in it exceeds its size. */
  static read (packet: IncomingPacket): OkPacket {
    try {
      return OkPacket.parse(packet)
    } catch (err) {
      throw new RangeError('an endpoint sent an OK packet that cannot be read', { cause: err })
    }
  }

  private static parse (packet: IncomingPacket): OkPacket {
    packet.readInt8()
    const affected = packet.readLengthCodedNumber() ?? 0
    const insertId = packet.readLengthCodedNumber() ?? 0
    const status = packet.readInt16()
    packet.readInt16()
    return new OkPacket(affected, insertId, status, readToken(packet, status))
  }

  /** Encodes a payload that carries a token in the session state, in the place of a GTID. */
  static encode (affected: number, insertId: number, status: number, token: Token): Buffer {
    const gtid = Buffer.from(token.toString())
    const state = Buffer.concat([
      Buffer.from([TRACK_GTIDS, gtid.length + 2, 0, gtid.length]), gtid])
    return Buffer.concat([
      Buffer.from([0]), lengthCoded(affected), lengthCoded(insertId),
      uint16(status | SESSION_STATE_CHANGED), uint16(0),
      Buffer.from([0]), lengthCoded(state.length), state])
  }
}

function readToken (packet: IncomingPacket, status: number): Token | undefined {
  if ((status & SESSION_STATE_CHANGED) === 0 || packet.offset >= packet.end) return undefined
  packet.readLengthCodedString('utf8')
  const length = packet.readLengthCodedNumber() ?? 0
  const end = Math.min(packet.offset + length, packet.end)
  while (packet.offset < end) {
    const type = packet.readInt8()
    const size = packet.readLengthCodedNumber() ?? 0
    const next = packet.offset + size
    if (type === TRACK_GTIDS) {
      packet.readInt8()
      return Token.parse(packet.readLengthCodedString('utf8') ?? '')
    }
    packet.offset = next
  }
  return undefined
}

function uint16 (value: number): Buffer {
  const buffer = Buffer.allocUnsafe(2)
  buffer.writeUInt16LE(value)
  return buffer
}

function lengthCoded (value: number): Buffer {
  if (value < 251) return Buffer.from([value])
  const buffer = Buffer.alloc(9)
  buffer[0] = 254
  buffer.writeBigUInt64LE(BigInt(value), 1)
  return buffer
}
