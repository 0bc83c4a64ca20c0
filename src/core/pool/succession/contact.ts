/** Whether this host reaches an endpoint. */

import type { Instant } from '../../id/instant.ts'
import { pace } from './pace.ts'

interface Fields {
  readonly reachedAt: Instant
  readonly missedAt: Instant
  /** Failed tries in a row. */
  readonly misses: number
  /** Since when something that was asked is unanswered and nothing was answered. */
  readonly waitingSince: Instant | undefined
}

/** Failed tries in a row after which an endpoint counts as out of reach: one may be a connection that an old life of it held. */
const MISSES = 2
/** An endpoint that is out of reach is tried again after so long; a lost try costs one read a redirection. */
const RETRY_MS = 500

/** Immutable; questions, answers and failures yield the next value. */
export class Contact {
  private constructor (private readonly fields: Fields) {}

  static readonly none = new Contact({ reachedAt: -Infinity as Instant, missedAt: -Infinity as Instant, misses: 0, waitingSince: undefined })

  asked (now: Instant): Contact {
    return this.fields.waitingSince === undefined ? new Contact({ ...this.fields, waitingSince: now }) : this
  }

  reached (now: Instant): Contact {
    return new Contact({ ...this.fields, reachedAt: now, misses: 0, waitingSince: undefined })
  }

  missed (now: Instant): Contact {
    return new Contact({ ...this.fields, missedAt: now, misses: this.fields.misses + 1 })
  }

  /** Whether an answer came within the time. */
  isFresh (withinMs: number, now: Instant): boolean {
    return now - this.fields.reachedAt <= withinMs
  }

  /** Whether it's worth finding out if it still answers. */
  isDoubtful (now: Instant): boolean {
    const { misses, waitingSince } = this.fields
    return misses > 0 || (waitingSince !== undefined && now - waitingSince >= pace.doubtMs)
  }

  /** Whether tries keep failing; reads then go elsewhere but for a try now and then. */
  isOut (now: Instant): boolean {
    return this.isFailing(now) && now - this.fields.missedAt < RETRY_MS
  }

  /** Two signs count as a failure: two tries, or one try while what was asked before stays unanswered. */
  isFailing (now: Instant): boolean {
    const { misses, waitingSince } = this.fields
    const isSilent = waitingSince !== undefined && now - waitingSince >= pace.doubtMs
    return misses >= MISSES || (misses > 0 && isSilent)
  }
}
