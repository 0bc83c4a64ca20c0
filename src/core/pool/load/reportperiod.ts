/** How often owners tell each other of their load, and for how long it counts. */

/** A queue before an endpoint grows or drains by a few statements meanwhile; waves of demand last longer by far. Milliseconds. */
const PERIOD_MS = 100
/** An owner tells no more others than this each period; with more owners it tells all of them less often, so that its bytes don't grow with them. */
const MAX_REPORTS_PER_PERIOD = 8
/** A report counts until the third after it should have come: datagrams are lost now and then, one after the other seldom. */
const VALID_PERIODS = 3

export const reportPeriod = {
  /** Milliseconds from one report to the next where so many others are told. */
  msFor: (others: number): number => PERIOD_MS * Math.max(1, Math.ceil(others / MAX_REPORTS_PER_PERIOD)),
  /** Milliseconds for which a report counts. */
  validMs: (others: number): number => VALID_PERIODS * reportPeriod.msFor(others)
}
