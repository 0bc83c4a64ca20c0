/** What this host has of each endpoint's connections. */

export interface Dealt {
  readonly connections: number
  /** A host that is no owner uses its one connection only when no owner is reached. */
  readonly isOwner: boolean
  /** Whether the living fit beside as many dead, so that none is scarce after a power loss. */
  readonly hasRoom: boolean
}
