/** What an endpoint says of a statement without rows. */

export interface Counts {
  readonly affected: number
  readonly insertId: number
}
