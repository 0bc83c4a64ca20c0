/** The times of a failover monitor, from the few that are set. */

import type { FailoverTimings } from '../../core/failover/timings.ts'

interface TimingSettings {
  readonly pace: Omit<FailoverTimings, 'quietMs' | 'orphanMs' | 'stallMs'>
  readonly probeMs: number
}

/** A round that is under way elsewhere ends by itself within two rounds: one of seals, one of the promotion. */
const ORPHAN_ROUNDS = 2
/** Replicas that copy nothing through so many samples aren't just slow. */
const STALLED_PROBES = 8

/** Probes of both owners come every `probeMs`: the quiet time covers the counted misses and half a probe more. */
export function failoverTimings ({ pace, probeMs }: TimingSettings): FailoverTimings {
  return {
    ...pace,
    quietMs: (pace.misses + 0.5) * probeMs,
    orphanMs: ORPHAN_ROUNDS * pace.roundMs,
    stallMs: STALLED_PROBES * probeMs
  }
}
