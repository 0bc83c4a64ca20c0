/** Calls that were served under a key that nobody held, or for longer than a key may be that was taken away. */

import type { Breach } from './breach.ts'
import type { Ledger } from './ledger.ts'
import { partOf } from './part.ts'

/** A call that was sent before the end may have been let in before it; what it was told counts from its start alone. */
export function findKeyless ({ history: { calls, grants } }: Ledger): readonly Breach[] {
  if (grants === undefined) return []
  return calls.flatMap(call => {
    const { holder, from, outcome } = call
    if (holder === undefined || outcome !== 'done') return []
    const own = grants.filter(({ key, team }) => key === holder.key && team === holder.team)
    // One that is given while the call is under way may hold already as it goes out.
    const isHeld = own.some(grant => grant.from <= call.to && (grant.until === undefined || from <= grant.until.at + grant.until.lateMs))
    if (isHeld) return []
    return [{
      kind: 'served without a key',
      part: partOf({ calls: [call], grants: own }),
      verdict: `team ${holder.team} was served under the key ${holder.key}, which it didn't hold`
    } as const]
  })
}
