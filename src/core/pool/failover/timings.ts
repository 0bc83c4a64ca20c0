/** Durations of the steps of a failover that several modules share, in milliseconds. */

export const timings = {
  /** An endpoint that hasn't answered for this long is suspect and gets probed: about twice the longest statement at a slow endpoint. */
  suspectAfterMs: 250,
  /** Time for other hosts to object: a new connection and a probe take a tenth of a second at a slow endpoint. */
  objectionWaitMs: 200,
  /** From the order until the successor leads and reports it. */
  promotionMs: 1000,
  /**
   * Duration of a lease, for which a holder that died keeps the other hosts waiting. Longer than the time from the claim to the
   * order: objections, a survey and a call to the platform, about two seconds together.
   */
  leaseMs: 3000
} as const
