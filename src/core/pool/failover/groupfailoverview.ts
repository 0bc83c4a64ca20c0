/** The state of the group and its surroundings that a failover decides by at each step. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { CommitHolders } from './commitholders.ts'

export interface GroupFailoverView {
  /** The endpoint that is believed to be the primary; undefined when none is known. */
  readonly leader: EndpointId | undefined
  /** The newest term that this host has seen. */
  readonly term: number
  /** Milliseconds without a known primary; 0 with one. */
  readonly leaderlessMs: number
  /** Whether the directory says that the primary is leaving. */
  readonly isLeaving: boolean
  /** How long a planned handover waits for a replica to catch up with the primary's log, in milliseconds. */
  readonly catchUpMs: number
  /** Whether the directory lists the primary. */
  readonly isListed: boolean
  /** Whether the primary is gone from the directory for so long that it has to be replaced, even if it still answers. */
  readonly isReplacementDue: boolean
  /** Whether this host keeps failing to reach the primary. */
  readonly isFailing: boolean
  /** Endpoints of the group that are leaving. */
  readonly leaving: ReadonlySet<EndpointId>
  /** Where acknowledged commits may be; undefined where commits don't wait for a replica. */
  readonly commitHolders: CommitHolders | undefined
  /** Whether a handover from the present primary is announced. */
  readonly isHandoverOpen: boolean
  /** Whether the lease was claimed for a failover that neither its holder nor another host has ended; without those of this host that are under way. */
  readonly isLeaseOpen: boolean
  /** This host's place in the failover order; 0 acts first. */
  readonly rank: number
  /** Whether this host may claim the lease. */
  readonly mayClaim: boolean
  /** Whether this host holds an unexpired lease. */
  readonly isLeaseHolder: boolean
}
