/** What the succession of a group is told of its surroundings at each step. */

import type { EndpointId } from '../../id/endpoint.ts'

export interface GroupFailoverView {
  /** The endpoint that is taken for the primary. */
  readonly leader: EndpointId | undefined
  /** Milliseconds without one. */
  readonly leaderlessMs: number
  /** Whether the directory says that the primary leaves. */
  readonly isLeaving: boolean
  /** Milliseconds for which a leaving primary may wait for a replica that has its whole log. */
  readonly catchUpMs: number
  /** Whether the directory lists the primary. */
  readonly isListed: boolean
  /** Whether this host's tries to reach the primary keep failing. */
  readonly isFailing: boolean
  /** Endpoints of the group that leave. */
  readonly leaving: ReadonlySet<EndpointId>
  /** This host's place among those that are alive: 0 acts first. */
  readonly rank: number
  /** Whether the lease may be claimed, and whether this host holds it. */
  readonly mayClaim: boolean
  readonly isLeaseHolder: boolean
}
