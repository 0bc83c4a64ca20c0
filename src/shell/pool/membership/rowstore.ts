/** Tables of versioned rows that all hosts share. */

import type { Result } from 'neverthrow'
import type { Row } from '../../../core/pool/membership/row.ts'

interface Change {
  readonly table: string
  readonly key: string
  /** Undefined erases the row. */
  readonly value: string | undefined
  /** The version that the row must have, 0 for none; undefined when any will do. */
  readonly expected?: number
}

interface Rows {
  readonly rows: readonly Row[]
  /** The newest version that the answer takes into account. */
  readonly version: number
  /** What the store's own clock showed as it answered, in milliseconds; it never goes back. */
  readonly storeMs: number
}

/** `unavailable`: no answer, or none that can be used; a change may have been made, or be made later. */
type Fault = 'unavailable' | 'throttled'

/** Every method resolves, within its time. */
export interface RowStore {
  /** All rows of a table as of one moment, or those whose keys begin so. */
  read (table: string, signal: AbortSignal, prefix?: string): Promise<Result<Rows, Fault>>
  /** What changed after the version, as soon as something did or the time is over. `forgotten`: that is not known any more. */
  changes (table: string, after: number, waitMs: number, signal: AbortSignal): Promise<Result<Rows, Fault | 'forgotten'>>
  /** Makes all changes or none; the version of the changes. `conflict`: a row had another version. */
  change (changes: readonly Change[], signal: AbortSignal): Promise<Result<number, Fault | 'conflict'>>
}
