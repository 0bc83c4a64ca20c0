/** Column definitions and text rows as a MySQL server sends them. */

import type { SqlValue } from 'sql.js'

const enum Type {
  Double = 5,
  LongLong = 8,
  VarString = 253
}

const UTF8MB4 = 45

interface Encoded {
  readonly columns: readonly Buffer[]
  readonly rows: readonly Buffer[]
}

/** Encodes a whole result; a column's type is told from its values. */
export function encodeResult (names: readonly string[], rows: readonly (readonly SqlValue[])[]): Encoded {
  return {
    columns: names.map((name, i) => column(name, typeOf(rows, i))),
    rows: rows.map(row => Buffer.concat(row.map(value)))
  }
}

function typeOf (rows: readonly (readonly SqlValue[])[], i: number): Type {
  const values = rows.map(row => row[i]).filter(value => value !== null)
  if (values.length === 0 || !values.every(value => typeof value === 'number')) return Type.VarString
  return values.every(value => Number.isInteger(value)) ? Type.LongLong : Type.Double
}

function column (name: string, type: Type): Buffer {
  const fixed = Buffer.alloc(13)
  fixed[0] = 12
  fixed.writeUInt16LE(UTF8MB4, 1)
  fixed.writeUInt32LE(1024, 3)
  fixed[7] = type
  return Buffer.concat([text('def'), text(''), text(''), text(''), text(name), text(name), fixed])
}

function value (value: SqlValue): Buffer {
  if (value === null) return Buffer.from([0xfb])
  return text(value instanceof Uint8Array ? Buffer.from(value) : String(value))
}

function text (value: string | Buffer): Buffer {
  const bytes = Buffer.from(value)
  if (bytes.length < 251) return Buffer.concat([Buffer.from([bytes.length]), bytes])
  const size = Buffer.alloc(4)
  size[0] = 0xfd
  size.writeUIntLE(bytes.length, 1, 3)
  return Buffer.concat([size, bytes])
}
