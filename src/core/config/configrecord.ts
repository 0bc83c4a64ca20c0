/** What the table service keeps of an accepted version. */

import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'

const shape = z.object({
  /** The patch's id, by which a lost answer is settled. */
  id: z.string(),
  /** Tells whether a command that comes again with the same id carries the same patch. */
  digest: z.string(),
  by: z.string(),
  why: z.string(),
  /** Milliseconds since 1970 on the operator's clock; for people only. */
  at: z.number(),
  /** The whole document as JSON; absent when it's too large for a row. */
  document: z.string().optional(),
  /** The key of the whole document in the object store. */
  object: z.string().optional()
})

/** Immutable, as the row that holds it is created once and never replaced. */
type ConfigRecord = Readonly<z.output<typeof shape>>

/** The record in the body of a row; an error when another program wrote the row. */
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
