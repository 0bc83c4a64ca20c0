/** Evidence for a read that was sent to a replica. */

import type { Sample } from '../group/sample.ts'
import type { Freshness } from '../routing/freshness.ts'
import type { Token } from '../token.ts'
import type { Evidence } from './evidence.ts'

/**
 * Records what routing compared: the token that the read had to see and the
 * replica's sample and, for a read with a maximum age, the age that was proved
 * for the replica. The term is the newest one that the replica's log is aligned
 * with.
 */
export function replicaEvidence (freshness: Freshness, token: Token, sample: Sample, ageMs: number): Evidence {
  const term = Math.max(sample.lastTerm, sample.history.term)
  const compared = { token: `${token}`, applied: `${term}:${sample.applied}` }
  if (freshness.kind !== 'age') return { promise: 'readYourWrites', ...compared }
  return { promise: 'age', ...compared, ageMs: Math.round(ageMs), limitMs: freshness.ms }
}
