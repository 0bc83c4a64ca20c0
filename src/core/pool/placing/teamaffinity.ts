/** At which of a group's owners the sessions of one team meet. */

import type { PoolHost } from './host.ts'
import type { TeamShare } from './teamshare.ts'

interface OwnerPreference {
  /** Owners among which a host's sessions of the team are spread. */
  readonly preferred: readonly PoolHost[]
  /** The owners behind these, the best first, for when none of them is reached. */
  readonly fallbacks: readonly PoolHost[]
}

/** For the sessions that a host got; `ranked`: all owners in an order that is the team's own, the same at every host. */
export type TeamAffinity = (host: PoolHost, team: TeamShare, ranked: readonly PoolHost[]) => OwnerPreference
