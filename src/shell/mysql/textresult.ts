/** A result set of one column and one row, for values that come from the proxy itself. */

import { BinaryRowEncoder } from './binaryrowencoder.ts'
import type { Reply } from './reply.ts'

const VAR_STRING = 253
const UTF8MB4 = 45
/** A column definition's fixed-length fields, after their length: character set, width, type, flags, decimals and filler. */
const FIXED_FIELDS = Buffer.from([12, UTF8MB4, 0, 0, 4, 0, 0, VAR_STRING, 0, 0, 0, 0, 0])
const CATALOG = 'def'

/** Replies to a query with one text value of at most 250 bytes. */
export function writeTextResult (reply: Reply, name: string, value: string, isBinary: boolean): void {
  const column = Buffer.concat([...[CATALOG, '', '', '', name, name].map(lengthCoded), FIXED_FIELDS])
  const row = lengthCoded(value)
  reply.head([column])
  reply.rows([isBinary ? BinaryRowEncoder.of([column]).encode(row) : row])
  reply.end()
}

function lengthCoded (text: string): Buffer {
  const bytes = Buffer.from(text)
  return Buffer.concat([Buffer.from([bytes.length]), bytes])
}
