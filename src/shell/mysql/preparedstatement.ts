/** Prepared statements of callers, and the binding of their parameters. */

import { findPlaceholders } from '../../core/routing/placeholders.ts'

const enum ParameterType {
  Tiny = 1,
  Short = 2,
  Long = 3,
  Float = 4,
  Double = 5,
  Null = 6,
  Timestamp = 7,
  LongLong = 8,
  Int24 = 9,
  Date = 10,
  Time = 11,
  DateTime = 12,
  Year = 13
}

const UNSIGNED = 0x80
/**
 * Text that is safe in a quoted literal under every sql_mode. A backslash is
 * not: under NO_BACKSLASH_ESCAPES an escaped quote would end the literal and
 * allow SQL injection.
 */
const SAFE_TEXT = /^[^\\\0]*$/
/** Size of the statement id, flags and iteration count, which precede the null bitmap. */
const FIXED_BYTES = 9

/**
 * A prepared statement. Endpoints receive it as text with the parameter values
 * inserted: a prepared statement belongs to one connection, while the
 * statements of a caller run on any connection to any endpoint.
 */
export class PreparedStatement {
  private types: readonly number[] = []

  private constructor (
    readonly id: number,
    readonly sql: string,
    /** Offsets of the placeholders (`?`) in `sql`. */
    private readonly places: readonly number[]
  ) {}

  static of (id: number, sql: string): PreparedStatement {
    return new PreparedStatement(id, sql, findPlaceholders(sql))
  }

  get parameterCount (): number {
    return this.places.length
  }

  /** Returns the SQL text for the payload of a COM_STMT_EXECUTE. Throws a RangeError if the payload is truncated. */
  bind (payload: Buffer): string {
    if (this.places.length === 0) return this.sql
    const bitmap = payload.subarray(FIXED_BYTES, FIXED_BYTES + (this.places.length + 7 >> 3))
    let offset = FIXED_BYTES + bitmap.length
    if (payload.readUInt8(offset++) === 1) {
      this.types = this.places.map((_, i) => payload.readUInt16LE(offset + i * 2))
      offset += this.places.length * 2
    }
    const reader = new ParameterReader(payload, offset)
    let sql = ''
    let from = 0
    this.places.forEach((place, i) => {
      const isNull = (bitmap[i >> 3]! >> (i & 7) & 1) === 1
      sql += this.sql.slice(from, place) + (isNull ? 'NULL' : reader.literal(this.types[i] ?? ParameterType.Null))
      from = place + 1
    })
    return sql + this.sql.slice(from)
  }
}

/** Decodes parameters of the binary protocol into SQL literals. */
class ParameterReader {
  constructor (private readonly data: Buffer, private offset: number) {}

  literal (type: number): string {
    const isUnsigned = (type >> 8 & UNSIGNED) !== 0
    switch (type & 0xff) {
      case ParameterType.Null: return 'NULL'
      case ParameterType.Tiny: return this.integer(1, isUnsigned)
      case ParameterType.Short:
      case ParameterType.Year: return this.integer(2, isUnsigned)
      case ParameterType.Long:
      case ParameterType.Int24: return this.integer(4, isUnsigned)
      case ParameterType.LongLong: return this.bigint(isUnsigned)
      case ParameterType.Float: return String(this.data.readFloatLE(this.advance(4)))
      case ParameterType.Double: return String(this.data.readDoubleLE(this.advance(8)))
      case ParameterType.Date:
      case ParameterType.DateTime:
      case ParameterType.Timestamp: return this.date()
      case ParameterType.Time: return this.time()
      default: return this.text()
    }
  }

  private advance (bytes: number): number {
    const at = this.offset
    this.offset += bytes
    return at
  }

  private integer (bytes: number, isUnsigned: boolean): string {
    const at = this.advance(bytes)
    return String(isUnsigned ? this.data.readUIntLE(at, bytes) : this.data.readIntLE(at, bytes))
  }

  private bigint (isUnsigned: boolean): string {
    const at = this.advance(8)
    return String(isUnsigned ? this.data.readBigUInt64LE(at) : this.data.readBigInt64LE(at))
  }

  private text (): string {
    const size = this.length()
    const at = this.advance(size)
    if (at + size > this.data.length) throw new RangeError('a value reaches past its packet')
    const bytes = this.data.subarray(at, at + size)
    const text = bytes.toString('utf8')
    if (!Buffer.from(text).equals(bytes)) return `X'${bytes.toString('hex')}'`
    return SAFE_TEXT.test(text) ? `'${text.replaceAll("'", "''")}'` : `_utf8mb4 X'${bytes.toString('hex')}'`
  }

  private length (): number {
    const first = this.data.readUInt8(this.advance(1))
    if (first < 251) return first
    if (first === 252) return this.data.readUInt16LE(this.advance(2))
    if (first === 253) return this.data.readUIntLE(this.advance(3), 3)
    return Number(this.data.readBigUInt64LE(this.advance(8)))
  }

  private date (): string {
    const size = this.data.readUInt8(this.advance(1))
    const at = this.advance(size)
    if (size === 0) return "'0000-00-00'"
    const day = [this.data.readUInt16LE(at), this.data.readUInt8(at + 2), this.data.readUInt8(at + 3)].map(pad).join('-')
    if (size === 4) return `'${day}'`
    const time = [4, 5, 6].map(i => pad(this.data.readUInt8(at + i))).join(':')
    const micros = size > 7 ? `.${String(this.data.readUInt32LE(at + 7)).padStart(6, '0')}` : ''
    return `'${day} ${time}${micros}'`
  }

  private time (): string {
    const size = this.data.readUInt8(this.advance(1))
    const at = this.advance(size)
    if (size === 0) return "'00:00:00'"
    const sign = this.data.readUInt8(at) === 1 ? '-' : ''
    const hours = this.data.readUInt32LE(at + 1) * 24 + this.data.readUInt8(at + 5)
    const rest = [6, 7].map(i => pad(this.data.readUInt8(at + i))).join(':')
    const micros = size > 8 ? `.${String(this.data.readUInt32LE(at + 8)).padStart(6, '0')}` : ''
    return `'${sign}${pad(hours)}:${rest}${micros}'`
  }
}

function pad (value: number): string {
  return String(value).padStart(2, '0')
}
