/** Whether an endpoint shows every write up to a token. */

import type { Sample } from '../group/sample.ts'
import type { Token } from '../token.ts'

/**
 * Proof from a sample that a replica has applied the token. An old sample is
 * still proof: what a replica has applied is on two servers, so no failover
 * drops it.
 *
 * Against a log that was not cut at the fork yet: positions past the fork then
 * stand for other entries than the token means. A log that holds an entry of
 * the token's term, or knows where that term began, was aligned with it.
 */
export function hasApplied (sample: Sample, token: Token): boolean {
  const isAligned = sample.lastTerm >= token.term || sample.history.term >= token.term
  return isAligned &&
    sample.applied >= token.position &&
    sample.history.contains(token.term, token.position)
}
