/** The times of a failover monitor, in milliseconds. */

export interface Pace {
  /** Missed probes in a row after which a primary counts as failed. */
  readonly misses: number
  /** How long a monitor of rank 1, 2, … waits for the ones before it, per rank. */
  readonly rankDelayMs: number
  /** How long a round of seals may take before it's given up. */
  readonly roundMs: number
  /** The most that chance adds before a round that lost is tried again. */
  readonly jitterMs: number
}
