/** Whether this host reaches an endpoint. */

import type { Instant } from '../../id/instant.ts'
import { timings } from './timings.ts'

interface Fields {
  readonly reachedAt: Instant
  readonly failedAt: Instant
  /** Failed tries in a row. */
  readonly misses: number
  /** Since when something that was asked is unanswered and nothing was answered. */
  readonly waitingSince: Instant | undefined
}

/** Failed tries in a row after which an endpoint counts as out of reach: one may be a connection that an old life of it held. */
const MAX_FAILURES = 2
/** An endpoint that is out of reach is tried again after so long; a lost try costs one read a redirection. */
const RETRY_MS = 500

/** Immutable; questions, answers and failures yield the next value. */
export class Reachability {
  private constructor (private readonly fields: Fields) {}

  static readonly none = new Reachability({ reachedAt: -Infinity as Instant, failedAt: -Infinity as Instant, misses: 0, waitingSince: undefined })

  asked (now: Instant): Reachability {
    return this.fields.waitingSince === undefined ? new Reachability({ ...this.fields, waitingSince: now }) : this
  }

  reached (now: Instant): Reachability {
    return new Reachability({ ...this.fields, reachedAt: now, misses: 0, waitingSince: undefined })
  }

  failed (now: Instant): Reachability {
    return new Reachability({ ...this.fields, failedAt: now, misses: this.fields.misses + 1 })
  }

  /** Whether an answer came within the time. */
  hasAnsweredWithin (withinMs: number, now: Instant): boolean {
    return now - this.fields.reachedAt <= withinMs
  }

  /** Whether it's worth finding out if it still answers. */
  isSuspect (now: Instant): boolean {
    const { misses, waitingSince } = this.fields
    return misses > 0 || (waitingSince !== undefined && now - waitingSince >= timings.suspectAfterMs)
  }

  /** Whether tries keep failing; reads then go elsewhere but for a try now and then. */
  isUnreachable (now: Instant): boolean {
    return this.isFailing(now) && now - this.fields.failedAt < RETRY_MS
  }

  /** Two signs count as a failure: two tries, or one try while what was asked before stays unanswered. */
  isFailing (now: Instant): boolean {
    const { misses, waitingSince } = this.fields
    const isSilent = waitingSince !== undefined && now - waitingSince >= timings.suspectAfterMs
    return misses >= MAX_FAILURES || (misses > 0 && isSilent)
  }
}
