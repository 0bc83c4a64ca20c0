/** Picks the endpoint for the next try of an operation. */

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
  /** The session's newest commit. */
  readonly newestCommit: Token
  /** Whose connections serve it; undefined where they serve anybody. */
  readonly team: TeamId | undefined
  /** Whether another host may run it; not for one that came as a detour itself, so that none goes round in circles. */
  readonly mayForward: boolean
  /** Endpoints that refused this operation as replicas or were out of reach. */
  readonly tried: ReadonlySet<EndpointId>
  /** Until its time is up, in milliseconds. */
  readonly leftMs: number
}

/** Resolves with undefined when nothing can serve it now, for want of a primary in reach; after a wait only for a replica that will soon hold what the read needs. */
export async function nextTarget (group: PoolGroup, { mustLead, freshness, newestCommit: own, team, mayForward: mayDetour, tried, leftMs }: TargetOptions): Promise<Target | undefined> {
  if (!mustLead && freshness.kind === 'age') {
    const after = group.requiredPosition(own, freshness.ms)
    const placed = after === undefined ? undefined : group.readRouter.place({ position: after, team, tried, leftMs })
    if (placed !== undefined) {
      if (placed.waitMs > 0) await pause(placed.waitMs)
      return { endpoint: placed.endpoint, after, mustLead: false }
    }
  }
  // Against requests that are held for their whole time before they are refused: what would go to a primary that
  // is out of reach is known not to be served until it's replaced.
  if (group.isLeaderUnreachable()) return mayDetour ? forwardedTarget(group) : undefined
  return group.leader === undefined ? undefined : { endpoint: group.leader, after: undefined, mustLead: true }
}

function forwardedTarget (group: PoolGroup): Target | undefined {
  const { leader } = group
  const via = group.hostReaching(leader)
  return leader === undefined || via === undefined ? undefined : { endpoint: leader, after: undefined, mustLead: true, via }
}
