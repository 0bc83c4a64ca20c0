/** Converts rows of the MySQL text protocol to the binary protocol. */

const enum ColumnType {
  Tiny = 1,
  Short = 2,
  Long = 3,
  Float = 4,
  Double = 5,
  Timestamp = 7,
  LongLong = 8,
  Int24 = 9,
  Date = 10,
  Time = 11,
  DateTime = 12,
  Year = 13
}

const NULL_MARKER = 0xfb
const INTEGER = /^-?\d+$/
/** The first two bits of a result row's null bitmap are reserved. */
const BITMAP_SHIFT = 2

/** Size of an encoded date, including its length byte. */
const DATE_BYTES = 5
const MICROSECOND_BYTES = 4

/** Encodes the rows of one result set. Create it from the result's column definitions. */
export class BinaryRowEncoder {
  private constructor (private readonly types: readonly number[]) {}

  static of (columns: readonly Uint8Array[]): BinaryRowEncoder {
    return new BinaryRowEncoder(columns.map(typeOf))
  }

  /** Throws a RangeError if the row doesn't match its column definitions. */
  encode (textRow: Uint8Array): Buffer {
    const row = Buffer.from(textRow.buffer, textRow.byteOffset, textRow.length)
    const bitmap = Buffer.alloc(this.types.length + 7 + BITMAP_SHIFT >> 3)
    const parts: Buffer[] = [Buffer.from([0]), bitmap]
    let offset = 0
    this.types.forEach((type, i) => {
      if (row[offset] === NULL_MARKER) {
        bitmap[i + BITMAP_SHIFT >> 3]! |= 1 << (i + BITMAP_SHIFT & 7)
        offset += 1
        return
      }
      const { start, end } = fieldAt(row, offset)
      parts.push(encodeValue(type, row, offset, start, end))
      offset = end
    })
    return Buffer.concat(parts)
  }
}

function encodeValue (type: number, row: Buffer, from: number, start: number, end: number): Buffer {
  const text = (): string => row.toString('latin1', start, end)
  switch (type) {
    case ColumnType.Tiny: return encodeInteger(text(), 1)
    case ColumnType.Short:
    case ColumnType.Year: return encodeInteger(text(), 2)
    case ColumnType.Long:
    case ColumnType.Int24: return encodeInteger(text(), 4)
    case ColumnType.LongLong: return encodeInteger(text(), 8)
    case ColumnType.Float: return encodeFloat(Number(text()))
    case ColumnType.Double: return encodeDouble(Number(text()))
    case ColumnType.Date: return encodeDateTime(text()).subarray(0, DATE_BYTES).fill(DATE_BYTES - 1, 0, 1)
    case ColumnType.DateTime:
    case ColumnType.Timestamp: return omitZeroMicroseconds(encodeDateTime(text()))
    case ColumnType.Time: return omitZeroMicroseconds(time(text()))
    default: return row.subarray(from, end)
  }
}

/** Encodes an integer in two's complement; unsigned values have the same bytes. */
function encodeInteger (text: string, bytes: number): Buffer {
  if (!INTEGER.test(text)) throw new RangeError(`"${text}" isn't a whole number`)
  const buffer = Buffer.allocUnsafe(8)
  buffer.writeBigInt64LE(BigInt.asIntN(64, BigInt(text)))
  return buffer.subarray(0, bytes)
}

function encodeFloat (value: number): Buffer {
  const buffer = Buffer.allocUnsafe(4)
  buffer.writeFloatLE(value)
  return buffer
}

function encodeDouble (value: number): Buffer {
  const buffer = Buffer.allocUnsafe(8)
  buffer.writeDoubleLE(value)
  return buffer
}

function encodeDateTime (text: string): Buffer {
  const parts = text.match(/\d+/g)?.map(Number) ?? []
  const buffer = Buffer.alloc(12)
  buffer[0] = 11
  buffer.writeUInt16LE(parts[0] ?? 0, 1)
  for (let i = 1; i <= 5; i++) buffer[i + 2] = parts[i] ?? 0
  buffer.writeUInt32LE(microsecondsOf(text), 8)
  return buffer
}

/** Drops microseconds that are zero: clients print whatever microseconds are sent. */
function omitZeroMicroseconds (value: Buffer): Buffer {
  const shortLength = value.length - MICROSECOND_BYTES
  if (value.readUInt32LE(shortLength) !== 0) return value
  value[0] = shortLength - 1
  return value.subarray(0, shortLength)
}

function time (text: string): Buffer {
  const parts = text.match(/\d+/g)?.map(Number) ?? []
  const hours = parts[0] ?? 0
  const buffer = Buffer.alloc(13)
  buffer[0] = 12
  buffer[1] = text.startsWith('-') ? 1 : 0
  buffer.writeUInt32LE(Math.floor(hours / 24), 2)
  buffer[6] = hours % 24
  buffer[7] = parts[1] ?? 0
  buffer[8] = parts[2] ?? 0
  buffer.writeUInt32LE(microsecondsOf(text), 9)
  return buffer
}

function microsecondsOf (text: string): number {
  const fraction = text.split('.')[1]
  return fraction === undefined ? 0 : Number(fraction.padEnd(6, '0').slice(0, 6))
}

/** Reads the type byte of a column definition. It follows six length-coded strings, a length, a character set and a width. */
function typeOf (column: Uint8Array): number {
  const data = Buffer.from(column.buffer, column.byteOffset, column.length)
  let offset = 0
  for (let i = 0; i < 6; i++) offset = fieldAt(data, offset).end
  return data[offset + 7] ?? 0
}

function fieldAt (data: Buffer, offset: number): { readonly start: number, readonly end: number } {
  const first = data.readUInt8(offset)
  if (first < 251) return { start: offset + 1, end: offset + 1 + first }
  if (first === 252) return { start: offset + 3, end: offset + 3 + data.readUInt16LE(offset + 1) }
  if (first === 253) return { start: offset + 4, end: offset + 4 + data.readUIntLE(offset + 1, 3) }
  return { start: offset + 9, end: offset + 9 + Number(data.readBigUInt64LE(offset + 1)) }
}
