/** Which owners of a group the sessions of a team are routed to. */

import type { PoolHost } from './host.ts'
import type { TeamShare } from './teamshare.ts'

interface OwnerPreference {
  /** Owners over which a host spreads its sessions of the team. */
  readonly preferred: readonly PoolHost[]
  /** The remaining owners, the best first, for when no preferred one can be reached. */
  readonly fallbacks: readonly PoolHost[]
}

/** Called for the sessions that `host` received; `ranked`: all owners in an order specific to the team, the same at every host. */
export type TeamAffinity = (host: PoolHost, team: TeamShare, ranked: readonly PoolHost[]) => OwnerPreference
