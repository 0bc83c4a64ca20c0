/** Whether an endpoint serves reads clearly worse than the others of its group. */

/** What all owners that are known of got from one endpoint. */
interface Seen {
  readonly isPrimary: boolean
  /** The mean time to an answer, in milliseconds; undefined when none came lately. */
  readonly answerMs: number | undefined
  /** The part that failed or ended without an answer; from 0 to 1. */
  readonly failing: number
}

type Judgement = 'bad' | 'fair' | 'well'

/** Of three endpoints that share the reads, one that fails this part more uses up the one retry that each ten statements may have. */
const BAD_PART = 0.3
/** Well again at half of it, so that chance alone doesn't carry an endpoint to and fro. */
const WELL_PART = BAD_PART / 2
/** One that takes so many times as long: the others finish two reads and begin the third meanwhile, so each read goes there in vain. */
const BAD_TIMES = 3
const WELL_TIMES = 2

/**
 * Judged by what callers get, and not by what the endpoint says of itself: one may say that it's well and fail, or be slow. Always against the best of the others, so that a group
 * which is slow or fails as a whole, as under load or by a bad statement, has no outlier. A primary's time is no measure, since its statements are
 * others than a replica's. One that wasn't heard of lately isn't well yet.
 */
export function judge (one: Seen, others: readonly Seen[]): Judgement {
  const excess = one.failing - Math.min(...others.map(({ failing }) => failing))
  const times = timesOf(one, others)
  if (excess >= BAD_PART || times >= BAD_TIMES) return 'bad'
  return one.answerMs !== undefined && excess <= WELL_PART && times <= WELL_TIMES ? 'well' : 'fair'
}

function timesOf (one: Seen, others: readonly Seen[]): number {
  const known = others.filter(({ isPrimary }) => !isPrimary).map(({ answerMs }) => answerMs).filter(ms => ms !== undefined)
  if (one.isPrimary || one.answerMs === undefined || known.length === 0) return 1
  return one.answerMs / Math.max(LEAST_MS, Math.min(...known))
}

/** Below this, times differ by the way and not by the endpoint. */
const LEAST_MS = 5
