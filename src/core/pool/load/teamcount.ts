/** Recent statements of a team at a group. */

export interface TeamCount {
  readonly team: string
  /** Statements that an endpoint did, or refused by itself. */
  readonly done: number
  /** Statements that were refused for lack of a place. */
  readonly refused: number
}
