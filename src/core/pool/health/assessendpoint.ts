/** Whether an endpoint serves reads clearly worse than the others of its group. */

/** Means over all owners that are known. */
interface EndpointStats {
  readonly isPrimary: boolean
  /** Mean time to an answer, in milliseconds; undefined if none came lately. */
  readonly answerMs: number | undefined
  /** Fraction that failed or ended without an answer, from 0 to 1. */
  readonly failing: number
}

type Assessment = 'bad' | 'fair' | 'well'

/** With three endpoints sharing the reads, one that fails this much more uses up the whole retry budget of one retry for ten statements. */
const BAD_EXCESS_FAILURE_RATE = 0.3
/** Half of the former, so that chance alone doesn't make an endpoint oscillate. */
const WELL_EXCESS_FAILURE_RATE = BAD_EXCESS_FAILURE_RATE / 2
/** At this ratio the other endpoints finish two reads and begin a third in the same time. */
const BAD_LATENCY_RATIO = 3
const WELL_LATENCY_RATIO = 2

/**
 * Uses what callers experience rather than what the endpoint says of itself: it may report good health and yet fail or be slow. The comparison is with the
 * best of the other endpoints, so a group that is slow or failing as a whole, by load or a bad statement, has no outlier. A primary's response time isn't
 * compared, since its statements differ from those of replicas. An endpoint without a recent answer isn't well yet.
 */
export function assessEndpoint (one: EndpointStats, others: readonly EndpointStats[]): Assessment {
  const excess = one.failing - Math.min(...others.map(({ failing }) => failing))
  const times = latencyRatio(one, others)
  if (excess >= BAD_EXCESS_FAILURE_RATE || times >= BAD_LATENCY_RATIO) return 'bad'
  return one.answerMs !== undefined && excess <= WELL_EXCESS_FAILURE_RATE && times <= WELL_LATENCY_RATIO ? 'well' : 'fair'
}

function latencyRatio (one: EndpointStats, others: readonly EndpointStats[]): number {
  const known = others.filter(({ isPrimary }) => !isPrimary).map(({ answerMs }) => answerMs).filter(ms => ms !== undefined)
  if (one.isPrimary || one.answerMs === undefined || known.length === 0) return 1
  return one.answerMs / Math.max(MIN_LATENCY_MS, Math.min(...known))
}

/** Below this, times differ by the network rather than by the endpoint. */
const MIN_LATENCY_MS = 5
