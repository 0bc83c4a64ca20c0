/** One version of a row in a table that every host replicates. */

export interface Row {
  readonly key: string
  /** Undefined for a deleted row. */
  readonly value: string | undefined
  /** The table's version after the change; grows with every change of any row. */
  readonly version: number
}
