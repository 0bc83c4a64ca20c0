/** Whether this host reaches an endpoint. */

import type { Instant } from '../id/instant.ts'

interface Fields {
  readonly reachedAt: Instant
  readonly missedAt: Instant
  /** Failed tries in a row. */
  readonly misses: number
}

/** Failed tries in a row after which an endpoint counts as out of reach: one may be a connection that an old life of it held. */
const MISSES = 2
/** An endpoint that is out of reach is tried again after so long; a lost try costs one read a redirection. */
const RETRY_MS = 500

/** Immutable; answers and failures yield the next value. */
export class Contact {
  private constructor (private readonly fields: Fields) {}

  static readonly none = new Contact({ reachedAt: -Infinity as Instant, missedAt: -Infinity as Instant, misses: 0 })

  reached (now: Instant): Contact {
    return new Contact({ ...this.fields, reachedAt: now, misses: 0 })
  }

  missed (now: Instant): Contact {
    return new Contact({ ...this.fields, missedAt: now, misses: this.fields.misses + 1 })
  }

  get reachedAt (): Instant {
    return this.fields.reachedAt
  }

  /** Whether tries keep failing; reads then go elsewhere but for a try now and then. */
  isOut (now: Instant): boolean {
    return this.isFailing && now - this.fields.missedAt < RETRY_MS
  }

  get isFailing (): boolean {
    return this.fields.misses >= MISSES
  }
}
