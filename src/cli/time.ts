/** Parses a time given on the command line, as an age or a date. */

import { err, ok, type Result } from 'neverthrow'
import { parseDuration } from '../core/settings/duration.ts'

/** Returns milliseconds since the epoch for an age such as `15m` or a date such as `2026-03-01T08:00:00Z`. */
export function parseTime (text: string, now: number): Result<number, string> {
  const age = parseDuration(text)
  if (age.isOk()) return ok(now - age.value)
  const at = Date.parse(text)
  if (!Number.isNaN(at)) return ok(at)
  return err(`"${text}" isn't a time; write an age such as "15m" or a date such as "2026-03-01T08:00:00Z"`)
}
