/** One row of the table service, as agatepond uses it. */

export interface Row {
  readonly pk: string
  readonly sk: string
  /** Grows with every replacement; conditions compare it. */
  readonly revision: number
  readonly body: string
}
