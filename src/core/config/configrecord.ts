/** The record of an accepted version in the table service. */

import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'

const shape = z.object({
  /** The patch's id, which tells whether it was accepted when the answer is lost. */
  id: z.string(),
  /** Digest that tells whether a command repeated with the same id carries the same patch. */
  digest: z.string(),
  by: z.string(),
  why: z.string(),
  /** Milliseconds since 1970 by the operator's clock; for display only. */
  at: z.number(),
  /** The whole document as JSON; absent if it's too large for a row. */
  document: z.string().optional(),
  /** The key of the whole document in the object store. */
  object: z.string().optional()
})

/** Immutable: the row is created once and never replaced. */
type ConfigRecord = Readonly<z.output<typeof shape>>

/** Parses the body of a row; an error if another program wrote it. */
export function parseConfigRecord (body: string): Result<ConfigRecord, string> {
  const parsed = z.string().transform((text, context) => {
    try {
      return JSON.parse(text) as unknown
    } catch {
      context.addIssue({ code: 'custom', message: 'not JSON' })
      return z.NEVER
    }
  }).pipe(shape).safeParse(body)
  return parsed.success ? ok(parsed.data) : err('the row of this version is not a record of a configuration; restore the table')
}
