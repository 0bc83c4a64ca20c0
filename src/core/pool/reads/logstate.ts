/** What one process has seen of an endpoint's log: where it stood and when. */

import type { Instant } from '../../id/instant.ts'
import type { Token } from '../../token.ts'

/** A replica that was found short is passed over for so long: about the time in which replication carries it further. */
const REFUSAL_BACKOFF_MS = 50

/** Immutable; each answer of the endpoint yields the next. */
export class LogState {
  private constructor (private readonly position: Token | undefined, private readonly seenAt: Instant, private readonly refusedAt: Instant) {}

  static readonly unknown = new LogState(undefined, -Infinity as Instant, -Infinity as Instant)

  answered (position: Token, now: Instant): LogState {
    return new LogState(position, now, this.refusedAt)
  }

  /** It refused a read since its log was short of what the read needs. */
  withRefusal (now: Instant): LogState {
    return new LogState(this.position, this.seenAt, now)
  }

  /**
   * Whether asking it for the position is worth a round trip. Only a guess: the
   * endpoint itself refuses what its log doesn't hold.
   */
  mayContain (position: Token, now: Instant): boolean {
    if (this.position !== undefined && !position.isAfter(this.position)) return true
    return now - this.refusedAt >= REFUSAL_BACKOFF_MS
  }
}
