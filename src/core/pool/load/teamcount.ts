/** What a team asked of a group lately. */

export interface TeamCount {
  readonly team: string
  /** Statements that an endpoint did, or refused by itself. */
  readonly done: number
  /** Statements that were refused for want of room. */
  readonly refused: number
}
