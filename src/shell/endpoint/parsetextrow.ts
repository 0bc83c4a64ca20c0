/** Parses rows of MySQL's text protocol in the answers to internal queries. */

const NULL_MARKER = 0xfb

/** Returns the values of a raw text row; supports lengths of up to three bytes. */
export function parseTextRow (row: Buffer): readonly (string | null)[] {
  const values: Array<string | null> = []
  let offset = 0
  while (offset < row.length) {
    const first = row.readUInt8(offset)
    if (first === NULL_MARKER) {
      values.push(null)
      offset += 1
      continue
    }
    const isShort = first < NULL_MARKER
    const start = isShort ? offset + 1 : offset + (first === 0xfc ? 3 : 4)
    const size = isShort ? first : row.readUIntLE(offset + 1, first === 0xfc ? 2 : 3)
    values.push(row.toString('utf8', start, start + size))
    offset = start + size
  }
  return values
}
