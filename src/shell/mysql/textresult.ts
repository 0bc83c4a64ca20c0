/** One value of the proxy's own as a result of one column and one row. */

import { BinaryRowEncoder } from './binaryrowencoder.ts'
import type { Reply } from './reply.ts'

const VAR_STRING = 253
const UTF8MB4 = 45
/** Character set, width, type, flags, decimals and two bytes that stay 0, after their own length. */
const FIXED_FIELDS = Buffer.from([12, UTF8MB4, 0, 0, 4, 0, 0, VAR_STRING, 0, 0, 0, 0, 0])
const CATALOG = 'def'

/** Answers a query for one text of at most 250 bytes. */
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
