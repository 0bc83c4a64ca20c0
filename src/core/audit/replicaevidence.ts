/** The evidence on which a read was sent to a replica. */

import type { Sample } from '../group/sample.ts'
import type { Freshness } from '../routing/freshness.ts'
import type { Token } from '../token.ts'
import type { Evidence } from './evidence.ts'

/**
 * What routing compared: the session's newest write, or the bound that stands
 * in for it, with the replica's sample; and its proven age where one is
 * stated. The term is the newest that the replica's log is aligned with.
 */
export function replicaEvidence (freshness: Freshness, token: Token, sample: Sample, ageMs: number): Evidence {
  const term = Math.max(sample.lastTerm, sample.history.term)
  const compared = { token: `${token}`, applied: `${term}:${sample.applied}` }
  if (freshness.kind !== 'age') return { promise: 'readYourWrites', ...compared }
  return { promise: 'age', ...compared, ageMs: Math.round(ageMs), limitMs: freshness.ms }
}
