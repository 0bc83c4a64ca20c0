/** The bound that stands in for what a session has written, when this process doesn't know the session. */

import type { Group } from '../../core/group/group.ts'
import type { Position } from '../../core/id/position.ts'
import { Token } from '../../core/token.ts'
import type { CallerContext } from './context.ts'

/**
 * The primary's position, taken under proof that no newer term has begun. No
 * write that was acknowledged before the call lies above it, whichever proxy
 * took the write. This fills the session's row on demand, as the upqueries of
 * Noria fill missing state (see docs/DESIGN.md). Undefined when it can't be proved.
 */
export async function acknowledgedBound (context: CallerContext, group: Group, ms: number): Promise<Token | undefined> {
  const { primary } = group
  if (primary === undefined) return undefined
  const { term, endpoint } = primary
  const others = group.samples.filter(sample => sample.endpoint !== endpoint)
  const confirm = async (at: typeof endpoint): Promise<number> => {
    const answer = await context.port(at)?.confirm(at, term, 0 as Position, ms)
    if (answer?.ok !== true) throw new Error('not confirmed')
    return answer.received
  }
  try {
    const [received] = await Promise.all([
      confirm(endpoint),
      Promise.any(others.map(async other => await confirm(other.endpoint)))
    ])
    return Token.of(term, received)
  } catch {
    return undefined
  }
}
