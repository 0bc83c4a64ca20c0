/** A stream of requests from one caller. */

export interface Stream {
  readonly name: string
  readonly rank: number
  readonly isTransaction?: boolean
  /** Requests a second at load 1. */
  readonly perSecond: number
  /** Mean of the exponentially distributed time on a connection. */
  readonly serviceMs: number
  readonly deadlineMs: number
  /** Multiplies the rate at an instant of virtual time. */
  readonly load: (ms: number) => number
}
