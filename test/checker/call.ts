/** What callers saw, one value a call. Times are milliseconds of one clock that sees all callers. */

import type { Outcome } from '../../src/core/outcome.ts'
import type { Freshness } from '../../src/core/routing/freshness.ts'

interface Common {
  readonly id: number
  readonly session: string
  /** The host that took the call. */
  readonly host: string
  readonly group: string
  readonly from: number
  /** When the answer came; a call without an answer has an unknown outcome and the end of the run here. */
  readonly to: number
  readonly outcome: Outcome
  /** Under which key the call came, by a name that the test gives it, and whose it was; absent where nobody needs one. */
  readonly holder?: { readonly key: string, readonly team: string }
  /** The open transaction that the call is a statement of. */
  readonly transaction?: string
}

interface Place {
  /** Of the token in the answer; undefined when the answer carried none. */
  readonly term?: number
  readonly position?: number
}

/**
 * Appends a value to the list under a key. Every request has a value of its
 * own, and all tries under one idempotency key have the same, so a list tells
 * which requests ran and how often.
 */
interface Write extends Common, Place {
  readonly kind: 'write'
  readonly key: string
  readonly value: string
  readonly once?: string
}

interface Row {
  readonly key: string
  readonly values: readonly string[]
}

/** Reads the lists of some keys in one statement. A whole answer has one row a key, in the order asked. */
interface Read extends Common {
  readonly kind: 'read'
  readonly keys: readonly string[]
  readonly freshness: Freshness
  readonly rows: readonly Row[]
  /** True for the reads that look at the whole group after the run. */
  readonly isFinal?: boolean
}

/** Ends a transaction. */
interface Commit extends Common, Place {
  readonly kind: 'commit'
  readonly transaction: string
}

export type Call = Write | Read | Commit
