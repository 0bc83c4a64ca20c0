/** Whether an endpoint serves reads clearly worse than the others of its group. */

/** What all owners that are known of got from one endpoint. */
interface EndpointStats {
  readonly isPrimary: boolean
  /** The mean time to an answer, in milliseconds; undefined when none came lately. */
  readonly answerMs: number | undefined
  /** The part that failed or ended without an answer; from 0 to 1. */
  readonly failing: number
}

type Assessment = 'bad' | 'fair' | 'well'

/** Of three endpoints that share the reads, one that fails this part more uses up the one retry that each ten statements may have. */
const BAD_EXCESS_FAILURE_RATE = 0.3
/** Well again at half of it, so that chance alone doesn't carry an endpoint to and fro. */
const WELL_EXCESS_FAILURE_RATE = BAD_EXCESS_FAILURE_RATE / 2
/** One that takes so many times as long: the others finish two reads and begin the third meanwhile, so each read goes there in vain. */
const BAD_LATENCY_RATIO = 3
const WELL_LATENCY_RATIO = 2

/**
 * Judged by what callers get, and not by what the endpoint says of itself: one may say that it's well and fail, or be slow. Always against the best of the others, so that a group
 * which is slow or fails as a whole, as under load or by a bad statement, has no outlier. A primary's time is no measure, since its statements are
 * others than a replica's. One that wasn't heard of lately isn't well yet.
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

/** Below this, times differ by the way and not by the endpoint. */
const MIN_LATENCY_MS = 5
