/** How much a team may ask of the whole system. */

/** Operations, over all hosts together. */
export interface Rate {
  readonly perSecond: number
  /** How many may come at once on top of it. */
  readonly burst: number
}
