/** The times of a failover monitor, in milliseconds. */

export interface FailoverTimings {
  /** Missed probes in a row after which a primary counts as failed. */
  readonly misses: number
  /** A primary that any slot owner reached within this time isn't suspected, whoever else misses it. */
  readonly quietMs: number
  /** How long a group may show no primary before monitors that don't probe the primary act. */
  readonly orphanMs: number
  /** How long the replicas may copy nothing of a primary that is ahead of them before it counts as cut off. */
  readonly stallMs: number
  /** How long a monitor of rank 1, 2, … waits for the ones before it, per rank. */
  readonly rankDelayMs: number
  /** How long a round of seals may take before it's given up. */
  readonly roundMs: number
  /** The most that chance adds before a round that lost is tried again. */
  readonly jitterMs: number
}
