/** The allowance of a team over the whole system. */

/** Limits on operations, over all hosts together. */
export interface Rate {
  readonly perSecond: number
  /** Operations that may come at once on top of the rate. */
  readonly burst: number
}
