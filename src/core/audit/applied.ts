/** The evidence that a replica shows a session's own writes. */

import type { Sample } from '../group/sample.ts'
import type { Token } from '../token.ts'
import type { Evidence } from './evidence.ts'

/** What routing compared: the session's token, or the bound that stands in for it, and the replica's sample. */
export function appliedEvidence (token: Token, sample: Sample): Evidence {
  return { promise: 'readYourWrites', token: `${token}`, applied: `${sample.lastTerm}:${sample.applied}` }
}
