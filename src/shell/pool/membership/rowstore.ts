/** A store with tables of versioned rows, shared by all hosts. */

import type { Result } from 'neverthrow'
import type { Row } from '../../../core/pool/membership/row.ts'

interface Change {
  readonly table: string
  readonly key: string
  /** Undefined erases the row. */
  readonly value: string | undefined
  /** The version that the row must have, 0 if it must not exist; undefined for any. */
  readonly expected?: number
}

interface Rows {
  readonly rows: readonly Row[]
  /** The rows contain all changes up to this version. */
  readonly version: number
  /** The store's clock at the time of the answer, in milliseconds; it's monotonic. */
  readonly storeMs: number
}

/** `unavailable`: no usable answer; a change may have been made, or may still be made. */
type Fault = 'unavailable' | 'throttled'

/** Every method resolves within its time limit and never rejects. */
export interface RowStore {
  /** A consistent read of all rows of a table, or of those whose keys begin with `prefix`. */
  read (table: string, signal: AbortSignal, prefix?: string): Promise<Result<Rows, Fault>>
  /** Long poll: the rows changed after a version, as soon as there are any or after `waitMs`. `forgotten`: the store no longer has these changes. */
  changes (table: string, after: number, waitMs: number, signal: AbortSignal): Promise<Result<Rows, Fault | 'forgotten'>>
  /** Makes all changes or none; resolves with their version. `conflict`: a row had another version than expected. */
  change (changes: readonly Change[], signal: AbortSignal): Promise<Result<number, Fault | 'conflict'>>
}
