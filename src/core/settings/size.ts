/** Parses sizes with units, as settings write them. */

import { err, ok, type Result } from 'neverthrow'

const UNITS: ReadonlyMap<string, number> = new Map([
  ['B', 1],
  ['KiB', 2 ** 10],
  ['MiB', 2 ** 20],
  ['GiB', 2 ** 30]
])

/** Returns the bytes of a text such as `"512KiB"` or `"64MiB"`; the error names the remedy. */
export function parseSize (text: string): Result<number, string> {
  const match = /^(\d+)(B|KiB|MiB|GiB)$/.exec(text)
  if (match === null) return err(`"${text}" isn't a size; write a whole number and a unit, such as "512KiB" or "64MiB"`)
  return ok(Number(match[1]) * UNITS.get(match[2]!)!)
}
