/** Works out again who is alive, and in which order hosts ask the store. */

import type { Instant } from '../../id/instant.ts'
import type { SyncState } from './syncstate.ts'
import type { SyncStep } from './syncstep.ts'
import { followAction } from './followaction.ts'
import { ReaderRanking } from './readerranking.ts'

/** A host of which an earlier life was said to leave contradicts, by a newer incarnation. */
export function updateRanking (state: SyncState, now: Instant): SyncStep {
  const { roll, self, ranking, links } = state
  const said = roll.entries(now).get(self.id)
  if (said !== undefined && !self.isLeaving && (said.incarnation > self.incarnation || (said.incarnation === self.incarnation && said.isLeaving))) {
    const next = { ...state, self: { ...self, incarnation: said.incarnation + 1 } }
    return { state: next, actions: links.open.map(link => followAction(next, link)) }
  }
  const next = ReaderRanking.of([...roll.alive(now).filter(({ id }) => id !== self.id), self], self)
  if (next.equals(ranking)) return { state: { ...state, rankedAt: now }, actions: [] }
  return { state: { ...state, ranking: next, rankedAt: now }, actions: [{ kind: 'hosts' }] }
}
