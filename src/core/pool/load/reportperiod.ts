/** How often owners tell each other of their load, and for how long it counts. */

/** A queue before an endpoint grows or drains by a few statements meanwhile; waves of demand last longer by far. Milliseconds. */
const PERIOD_MS = 100
/** An owner tells no more others than this each period; with more owners it tells all of them less often, so that its bytes don't grow with them. */
const MOST_TOLD = 8
/** A report counts until the third after it should have come: datagrams are lost now and then, one after the other seldom. */
const COUNTED_PERIODS = 3

export const reportPeriod = {
  /** Milliseconds from one report to the next where so many others are told. */
  msFor: (others: number): number => PERIOD_MS * Math.max(1, Math.ceil(others / MOST_TOLD)),
  /** Milliseconds for which a report counts. */
  countedMs: (others: number): number => COUNTED_PERIODS * reportPeriod.msFor(others)
}
