/** Works out again who is alive, and in which order hosts ask the store. */

import type { Instant } from '../../id/instant.ts'
import type { ControlState } from './controlstate.ts'
import type { ControlStep } from './controlstep.ts'
import { introduction } from './introduction.ts'
import { Ranking } from './ranking.ts'

/** A host of which an earlier life was said to leave contradicts, by a newer incarnation. */
export function ranked (state: ControlState, now: Instant): ControlStep {
  const { roll, self, ranking, links } = state
  const said = roll.entries(now).get(self.id)
  if (said !== undefined && !self.isLeaving && (said.incarnation > self.incarnation || (said.incarnation === self.incarnation && said.isLeaving))) {
    const next = { ...state, self: { ...self, incarnation: said.incarnation + 1 } }
    return { state: next, actions: links.open.map(link => introduction(next, link)) }
  }
  const next = Ranking.of([...roll.alive(now).filter(({ id }) => id !== self.id), self], self)
  if (next.equals(ranking)) return { state: { ...state, rankedAt: now }, actions: [] }
  return { state: { ...state, ranking: next, rankedAt: now }, actions: [{ kind: 'hosts' }] }
}
