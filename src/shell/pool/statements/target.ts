/** Chooses the endpoint for the next try of an operation. */

import { setTimeout as pause } from 'node:timers/promises'
import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { TeamId } from '../../../core/id/team.ts'
import type { Target } from '../../../core/pool/statements/target.ts'
import type { Freshness } from '../../../core/routing/freshness.ts'
import type { Token } from '../../../core/token.ts'
import type { PoolGroup } from '../group.ts'

interface TargetOptions {
  /** True for writes, and for transactions that may write. */
  readonly mustLead: boolean
  readonly freshness: Freshness
  /** Position of the session's newest commit. */
  readonly newestCommit: Token
  /** The team whose connections serve it; undefined where connections serve anyone. */
  readonly team: TeamId | undefined
  /** Whether another host may run it; false for operations that were forwarded already, so that they don't loop. */
  readonly mayForward: boolean
  /** Endpoints that were tried for this operation. */
  readonly tried: ReadonlySet<EndpointId>
  /** Milliseconds until the operation's deadline. */
  readonly remainingMs: number
}

/**
 * Resolves with undefined if the primary is needed and unreachable, or has left without a successor. Waits only for a replica that will
 * soon have the position that the read requires.
 */
export async function nextTarget (group: PoolGroup, { mustLead, freshness, newestCommit, team, mayForward, tried, remainingMs }: TargetOptions): Promise<Target | undefined> {
  if (!mustLead && freshness.kind === 'age') {
    const after = group.requiredPosition(newestCommit, freshness.ms)
    const placement = after === undefined ? undefined : group.readRouter.place({ position: after, team, tried, remainingMs })
    if (placement !== undefined) {
      if (placement.waitMs > 0) await pause(placement.waitMs)
      return { endpoint: placement.endpoint, after, mustLead: false }
    }
  }
  // A request must not reach a leaving primary after its drain time, not even by way of another host.
  if (group.leader !== undefined && group.isDrained(group.leader)) return undefined
  // An unreachable primary isn't tried, since the request would time out there.
  if (group.isLeaderUnreachable()) return mayForward ? forwardedTarget(group) : undefined
  return group.leader === undefined ? undefined : { endpoint: group.leader, after: undefined, mustLead: true }
}

function forwardedTarget (group: PoolGroup): Target | undefined {
  const { leader } = group
  const via = group.hostReaching(leader)
  return leader === undefined || via === undefined ? undefined : { endpoint: leader, after: undefined, mustLead: true, via }
}
