/** What a statement met that was refused for want of room: for its line, and for its record. */

export interface Congestion {
  /** Undefined where callers have no keys. */
  readonly team: string | undefined
  /** The endpoints of its group, as far as this host has something there. */
  readonly endpoints: ReadonlyArray<{
    readonly endpoint: string
    /** Statements at work there, of this host. */
    readonly atWork: number
    /** Those that wait with this host, by class. */
    readonly waiting: readonly number[]
  }>
  /** Who asked most of the group lately, and the part of all that was asked; undefined where callers have no keys. */
  readonly largest: { readonly team: string, readonly part: number } | undefined
  /** What its caller was told; milliseconds. */
  readonly retryAfterMs: number
}
