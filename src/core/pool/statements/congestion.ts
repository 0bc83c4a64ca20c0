/** The load that a statement found at its group when it was refused for lack of capacity, for the log and the audit record. */

export interface Congestion {
  /** Undefined where callers have no keys. */
  readonly team: string | undefined
  /** The endpoints of the group at which this host has statements running or waiting. */
  readonly endpoints: ReadonlyArray<{
    readonly endpoint: string
    /** Statements of this host that run there. */
    readonly atWork: number
    /** Statements that wait at this host for the endpoint, by class. */
    readonly waiting: readonly number[]
  }>
  /** The team with the most recent requests to the group, and its share of them from 0 to 1; undefined where callers have no keys. */
  readonly largest: { readonly team: string, readonly part: number } | undefined
  /** The retry-after time that the caller got. */
  readonly retryAfterMs: number
}
