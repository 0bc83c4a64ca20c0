/** How long the steps of a succession take, as far as more than one part of it goes by that. Milliseconds. */

export const timings = {
  /**
   * So long without any answer is doubtful: about twice what the longest statement
   * takes at a slow endpoint. A wrong doubt costs one connection, to find out.
   */
  suspectAfterMs: 250,
  /** A host that reaches the primary has so long to say so: a new connection and a question take a tenth of a second at a slow endpoint. */
  objectionWaitMs: 200,
  /** From the order until the successor leads and says so. */
  promotionMs: 1000,
  /**
   * A holder that died or was suspended keeps the others waiting for so long.
   * Longer than a promotion takes from the claim to the order: asking, a survey
   * and one call to the platform, about two seconds together.
   */
  leaseMs: 3000
} as const
