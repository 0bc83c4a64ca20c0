/** Whether an endpoint has applied every write up to a token. */

import type { Sample } from '../group/sample.ts'
import type { Token } from '../token.ts'

/**
 * Whether the sample proves that the replica has applied the token. An old sample is still proof: what a replica has applied is on two
 * servers, so that no failover drops it.
 *
 * A replica whose log wasn't truncated yet at the fork of a failover holds other entries at the same positions. So its log must have
 * an entry of the token's term, or know where that term began: then it was aligned with that term.
 */
export function hasApplied (sample: Sample, token: Token): boolean {
  const isAligned = sample.lastTerm >= token.term || sample.history.term >= token.term
  return isAligned &&
    sample.applied >= token.position &&
    sample.history.contains(token.term, token.position)
}
