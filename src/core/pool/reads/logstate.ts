/** What this process has seen of an endpoint's log: where it stood and when. */

import type { Instant } from '../../id/instant.ts'
import type { Token } from '../../token.ts'

/** An endpoint that refused a read because it was behind is skipped for about the time in which replication advances. */
const REFUSAL_BACKOFF_MS = 50

/** Immutable; each answer of the endpoint yields the next value. */
export class LogState {
  private constructor (private readonly position: Token | undefined, private readonly seenAt: Instant, private readonly refusedAt: Instant) {}

  static readonly unknown = new LogState(undefined, -Infinity as Instant, -Infinity as Instant)

  answered (position: Token, now: Instant): LogState {
    return new LogState(position, now, this.refusedAt)
  }

  /** The endpoint refused a read because its log didn't contain the position. */
  withRefusal (now: Instant): LogState {
    return new LogState(this.position, this.seenAt, now)
  }

  /**
   * Whether asking the endpoint for the position is worth a round trip. This is only a guess: the endpoint itself refuses a read that its log doesn't
   * cover.
   */
  mayContain (position: Token, now: Instant): boolean {
    if (this.position !== undefined && !position.isAfter(this.position)) return true
    return now - this.refusedAt >= REFUSAL_BACKOFF_MS
  }
}
