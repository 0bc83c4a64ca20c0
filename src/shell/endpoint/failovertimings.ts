/** Derives the timings of a failover monitor from the settings. */

import type { FailoverTimings } from '../../core/failover/timings.ts'

interface TimingSettings {
  readonly pace: Omit<FailoverTimings, 'quietMs' | 'orphanMs' | 'stallMs'>
  readonly probeMs: number
}

/** A failover that another monitor runs takes at most two rounds: seals and promotion. */
const ORPHAN_ROUNDS = 2
/** Probe intervals without progress of the replicas after which replication counts as stalled. */
const STALLED_PROBES = 8

/** Both owners probe every `probeMs`; the quiet time covers the counted misses and half an interval more. */
export function failoverTimings ({ pace, probeMs }: TimingSettings): FailoverTimings {
  return {
    ...pace,
    quietMs: (pace.misses + 0.5) * probeMs,
    orphanMs: ORPHAN_ROUNDS * pace.roundMs,
    stallMs: STALLED_PROBES * probeMs
  }
}
