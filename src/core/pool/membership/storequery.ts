/** This host's own question to the store about one table. */

import type { Instant } from '../../id/instant.ts'

interface Fields {
  readonly isPending: boolean
  readonly sentAt: Instant
  /** When the store last answered; undefined before it did. */
  readonly answeredAt: Instant | undefined
  /** In a row. */
  readonly failures: number
  /** Not to be asked again before. */
  readonly notBefore: Instant
  /** The store doesn't know any more what changed, so all must be read. */
  readonly isHistoryLost: boolean
}

/** Told where the store never answered; longer than any bound, and a number that can be sent. */
const MAX_LATE_MS = 1e9

/** Immutable. */
export class StoreQuery implements Fields {
  readonly isPending: boolean
  readonly sentAt: Instant
  readonly answeredAt: Instant | undefined
  readonly failures: number
  readonly notBefore: Instant
  readonly isHistoryLost: boolean

  private constructor ({ isPending: isOpen, sentAt: askedAt, answeredAt, failures, notBefore, isHistoryLost: isForgotten }: Fields) {
    this.isPending = isOpen
    this.sentAt = askedAt
    this.answeredAt = answeredAt
    this.failures = failures
    this.notBefore = notBefore
    this.isHistoryLost = isForgotten
  }

  static readonly none = new StoreQuery({ isPending: false, sentAt: -Infinity as Instant, answeredAt: undefined, failures: 0, notBefore: -Infinity as Instant, isHistoryLost: false })

  sent (now: Instant): StoreQuery {
    return new StoreQuery({ ...this, isPending: true, sentAt: now })
  }

  /** `restMs`: not to be asked again for so long. */
  answered (now: Instant, restMs = 0): StoreQuery {
    return new StoreQuery({ ...this, isPending: false, answeredAt: now, failures: 0, notBefore: now + restMs as Instant, isHistoryLost: false })
  }

  failed (now: Instant, waitMs: number): StoreQuery {
    return new StoreQuery({ ...this, isPending: false, failures: this.failures + 1, notBefore: now + waitMs as Instant })
  }

  /** It was answered, with the word that what changed isn't known any more. */
  historyLost (): StoreQuery {
    return new StoreQuery({ ...this, isPending: false, isHistoryLost: true })
  }

  /** How much longer than planned the store owes an answer. */
  lateMs (waitMs: number, now: Instant): number {
    return this.answeredAt === undefined ? MAX_LATE_MS : Math.min(MAX_LATE_MS, Math.max(0, now - this.answeredAt - waitMs))
  }
}
