/** The durations that a failover monitor works with, in milliseconds. */

export interface FailoverTimings {
  /** Consecutive missed probes after which a primary counts as failed. */
  readonly misses: number
  /** A primary that any slot owner reached within this time isn't suspected. */
  readonly quietMs: number
  /** How long a group may show no primary before monitors that don't probe the primary act. */
  readonly orphanMs: number
  /** How long the replicas may copy nothing from a primary that is ahead of them before it counts as cut off. */
  readonly stallMs: number
  /** The delay per rank: a monitor waits for those of lower rank. */
  readonly rankDelayMs: number
  /** The timeout of a round of seals. */
  readonly roundMs: number
  /** The maximum random delay before a lost round is tried again. */
  readonly jitterMs: number
}
