/** What this host has of each endpoint's connections. */

import type { PoolHost } from '../../../core/pool/placing/host.ts'

export interface EndpointShare {
  readonly connections: number
  /** A host that is no owner uses its one connection only when no owner is reached. */
  readonly isOwner: boolean
  /** Whether the living fit beside as many dead, so that none is scarce after a power loss. */
  readonly hasRoom: boolean
  /** The other owners, where some hosts are picked and this is one of them. */
  readonly otherOwners: readonly PoolHost[]
}
