/** A row of the table service: `pk` is the partition key, `sk` the sort key. */

export interface Row {
  readonly pk: string
  readonly sk: string
  /** Increases with every replacement; used for conditional writes. */
  readonly revision: number
  readonly body: string
}
