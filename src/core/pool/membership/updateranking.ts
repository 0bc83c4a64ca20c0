/** Recomputes the live hosts and the order of the readers. */

import type { Instant } from '../../id/instant.ts'
import type { SyncState } from './syncstate.ts'
import type { SyncStep } from './syncstep.ts'
import { followAction } from './followaction.ts'
import { ReaderRanking } from './readerranking.ts'

/** A host that is listed as leaving from an earlier incarnation overrides that entry with a higher incarnation. */
export function updateRanking (state: SyncState, now: Instant): SyncStep {
  const { roll, self, ranking, links } = state
  const listed = roll.entries(now).get(self.id)
  if (listed !== undefined && !self.isLeaving && (listed.incarnation > self.incarnation || (listed.incarnation === self.incarnation && listed.isLeaving))) {
    const next = { ...state, self: { ...self, incarnation: listed.incarnation + 1 } }
    return { state: next, actions: links.open.map(link => followAction(next, link)) }
  }
  const next = ReaderRanking.of([...roll.alive(now).filter(({ id }) => id !== self.id), self], self)
  if (next.equals(ranking)) return { state: { ...state, rankedAt: now }, actions: [] }
  return { state: { ...state, ranking: next, rankedAt: now }, actions: [{ kind: 'hosts' }] }
}
