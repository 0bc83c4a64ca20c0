/** Why a host claims the lease of a group. */

export type FailoverCause =
  /** The primary leaves, or has to be replaced though it answers. */
  | 'leaving'
  /** The primary isn't listed, and this host doesn't reach it. */
  | 'gone'
  /** This host doesn't reach the primary. */
  | 'unreached'
  /** No primary is known. */
  | 'nobody'
  /** A handover was announced and its holder's lease has expired; its order may still be carried out. */
  | 'unfinished'
  /** A lease has expired without an end of its failover, which may have stopped the replicas. */
  | 'abandoned'
