/** This host's share of the connections to each endpoint of a group. */

import type { PoolHost } from '../../../core/pool/placing/host.ts'

export interface EndpointShare {
  readonly connections: number
  /** A host that isn't an owner uses its one connection only if it reaches no owner. */
  readonly isOwner: boolean
  /** Whether the endpoints have room for as many connections again, so that they aren't scarce after a power loss of all hosts. */
  readonly hasSpareConnections: boolean
  /** The other owners, if owners were assigned and this host is one; otherwise empty. */
  readonly otherOwners: readonly PoolHost[]
}
