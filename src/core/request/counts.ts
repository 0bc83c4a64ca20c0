/** The counts that an endpoint reports for a statement without rows. */

export interface Counts {
  readonly affected: number
  readonly insertId: number
}
