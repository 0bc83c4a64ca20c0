/** One kind of operation that callers ask for. */

export interface Kind {
  readonly name: string
  /** Index in the admission's classes. */
  readonly rank: number
  readonly perSecond: number
  /** Mean work of one statement, in milliseconds; exponentially distributed. */
  readonly workMs: number
  /** Within which an operation is worth most, and after which its caller gives up; milliseconds from its first try. */
  readonly aimMs: number
  readonly deadlineMs: number
  /** Shares of operations that are transactions, and that write. */
  readonly transactions: number
  readonly writes: number
  /** How old what a read shows may be, in milliseconds; 0 for what only the primary serves. */
  readonly staleMs: number
}
