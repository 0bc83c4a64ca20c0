/** This host's own question to the store about one table. */

import type { Instant } from '../../id/instant.ts'

interface Fields {
  readonly isOpen: boolean
  readonly askedAt: Instant
  /** When the store last answered; undefined before it did. */
  readonly answeredAt: Instant | undefined
  /** In a row. */
  readonly failures: number
  /** Not to be asked again before. */
  readonly notBefore: Instant
  /** The store doesn't know any more what changed, so all must be read. */
  readonly isForgotten: boolean
}

/** Told where the store never answered; longer than any bound, and a number that can be sent. */
const MOST_LATE_MS = 1e9

/** Immutable. */
export class Question implements Fields {
  readonly isOpen: boolean
  readonly askedAt: Instant
  readonly answeredAt: Instant | undefined
  readonly failures: number
  readonly notBefore: Instant
  readonly isForgotten: boolean

  private constructor ({ isOpen, askedAt, answeredAt, failures, notBefore, isForgotten }: Fields) {
    this.isOpen = isOpen
    this.askedAt = askedAt
    this.answeredAt = answeredAt
    this.failures = failures
    this.notBefore = notBefore
    this.isForgotten = isForgotten
  }

  static readonly none = new Question({ isOpen: false, askedAt: -Infinity as Instant, answeredAt: undefined, failures: 0, notBefore: -Infinity as Instant, isForgotten: false })

  asked (now: Instant): Question {
    return new Question({ ...this, isOpen: true, askedAt: now })
  }

  /** `restMs`: not to be asked again for so long. */
  answered (now: Instant, restMs = 0): Question {
    return new Question({ ...this, isOpen: false, answeredAt: now, failures: 0, notBefore: now + restMs as Instant, isForgotten: false })
  }

  failed (now: Instant, waitMs: number): Question {
    return new Question({ ...this, isOpen: false, failures: this.failures + 1, notBefore: now + waitMs as Instant })
  }

  /** It was answered, with the word that what changed isn't known any more. */
  forgotten (): Question {
    return new Question({ ...this, isOpen: false, isForgotten: true })
  }

  /** How much longer than planned the store owes an answer. */
  lateMs (waitMs: number, now: Instant): number {
    return this.answeredAt === undefined ? MOST_LATE_MS : Math.min(MOST_LATE_MS, Math.max(0, now - this.answeredAt - waitMs))
  }
}
