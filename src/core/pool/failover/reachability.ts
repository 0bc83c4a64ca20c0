/** Whether this host reaches an endpoint. */

import type { Instant } from '../../id/instant.ts'
import { timings } from './timings.ts'

interface Fields {
  readonly reachedAt: Instant
  readonly failedAt: Instant
  /** Failed attempts in a row. */
  readonly misses: number
  /** Since when a request is unanswered without any answer in between; undefined when none is. */
  readonly waitingSince: Instant | undefined
  /** Whether a request ran out of time that was sent before the latest answer. */
  readonly isDoubted: boolean
}

/** Failed attempts in a row after which an endpoint is unreachable; a single one may be a connection to an earlier incarnation. */
const MAX_FAILURES = 2
/** Interval at which an unreachable endpoint is tried again; a failed attempt costs one read a redirection. */
const RETRY_MS = 500

/** Immutable; each request, answer or failure returns the next value. */
export class Reachability {
  private constructor (private readonly fields: Fields) {}

  static readonly none = new Reachability({ reachedAt: -Infinity as Instant, failedAt: -Infinity as Instant, misses: 0, waitingSince: undefined, isDoubted: false })

  asked (now: Instant): Reachability {
    return this.fields.waitingSince === undefined ? new Reachability({ ...this.fields, waitingSince: now }) : this
  }

  reached (now: Instant): Reachability {
    return new Reachability({ ...this.fields, reachedAt: now, misses: 0, waitingSince: undefined, isDoubted: false })
  }

  failed (now: Instant): Reachability {
    return new Reachability({ ...this.fields, failedAt: now, misses: this.fields.misses + 1 })
  }

  /**
   * A request that was sent at `sentAt` had no answer in its time. If the endpoint has answered another one since, it is probed, but the
   * silence is no failure: behind a full link new connections are late while those in use still carry answers.
   */
  unanswered (sentAt: Instant, now: Instant): Reachability {
    return this.fields.reachedAt > sentAt ? new Reachability({ ...this.fields, isDoubted: true }) : this.failed(now)
  }

  /** Whether the endpoint answered within the last `withinMs` milliseconds. */
  hasAnsweredWithin (withinMs: number, now: Instant): boolean {
    return now - this.fields.reachedAt <= withinMs
  }

  /** Whether the endpoint should be probed. */
  isSuspect (now: Instant): boolean {
    const { misses, waitingSince, isDoubted } = this.fields
    return misses > 0 || isDoubted || (waitingSince !== undefined && now - waitingSince >= timings.suspectAfterMs)
  }

  /** Whether the endpoint is failing and not yet due for another attempt; reads then go to other endpoints. */
  isUnreachable (now: Instant): boolean {
    return this.isFailing(now) && now - this.fields.failedAt < RETRY_MS
  }

  /** Whether two attempts failed in a row, or one failed while an earlier request stays unanswered. */
  isFailing (now: Instant): boolean {
    const { misses, waitingSince } = this.fields
    const isSilent = waitingSince !== undefined && now - waitingSince >= timings.suspectAfterMs
    return misses >= MAX_FAILURES || (misses > 0 && isSilent)
  }
}
