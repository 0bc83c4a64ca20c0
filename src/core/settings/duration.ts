/** Parses durations with units, as settings, patches and request hints write them. */

import { err, ok, type Result } from 'neverthrow'

const UNITS: ReadonlyMap<string, number> = new Map([
  ['ms', 1],
  ['s', 1000],
  ['m', 60_000],
  ['h', 3_600_000],
  ['d', 86_400_000]
])

/** Returns the milliseconds of a text such as `"250ms"`, `"1.5s"` or `"2h"`; the error names the remedy. */
export function parseDuration (text: string): Result<number, string> {
  const match = /^(\d+(?:\.\d+)?)(ms|s|m|h|d)$/.exec(text)
  if (match === null) return err(`"${text}" isn't a duration; write a number and a unit, such as "250ms" or "1.5s"`)
  return ok(Number(match[1]) * UNITS.get(match[2]!)!)
}
