/** What a host tells one that starts while the store is away. */

interface Row {
  readonly key: string
  readonly value: string
  /** The version that the store gave to the row's last change. */
  readonly version: number
}

/** Rows as the store gave them, so that they are read the same way. */
export interface Knowledge {
  readonly config: readonly Row[]
  readonly endpoints: readonly Row[]
}
