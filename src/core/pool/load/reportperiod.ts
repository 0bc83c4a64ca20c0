/** How often owners report their load to each other, and for how long a report is valid. */

/** Meanwhile a queue at an endpoint grows or shrinks by a few statements only; demand changes far more slowly. */
const PERIOD_MS = 100
/** With more owners reports are sent less often, so that an owner's traffic doesn't grow with their number. */
const MAX_REPORTS_PER_PERIOD = 8
/** Tolerates the loss of single datagrams; two in a row are seldom lost. */
const VALID_PERIODS = 3

export const reportPeriod = {
  /** Milliseconds between two reports to this many others. */
  msFor: (others: number): number => PERIOD_MS * Math.max(1, Math.ceil(others / MAX_REPORTS_PER_PERIOD)),
  /** Milliseconds for which a report is valid. */
  validMs: (others: number): number => VALID_PERIODS * reportPeriod.msFor(others)
}
