/** What one process has seen of an endpoint's log: where it stood and when. */

import type { Instant } from '../../id/instant.ts'
import type { Token } from '../../token.ts'

/** A replica that was found short is passed over for so long: about the time in which replication carries it further. */
const PASS_OVER_MS = 50

/** Immutable; each answer of the endpoint yields the next. */
export class Standing {
  private constructor (private readonly position: Token | undefined, private readonly seenAt: Instant, private readonly behindAt: Instant) {}

  static readonly unknown = new Standing(undefined, -Infinity as Instant, -Infinity as Instant)

  answered (position: Token, now: Instant): Standing {
    return new Standing(position, now, this.behindAt)
  }

  /** It refused a read since its log was short of what the read needs. */
  fellShort (now: Instant): Standing {
    return new Standing(this.position, this.seenAt, now)
  }

  /**
   * Whether asking it for the position is worth a round trip. Only a guess: the
   * endpoint itself refuses what its log doesn't hold.
   */
  mayHold (position: Token, now: Instant): boolean {
    if (this.position !== undefined && !position.isAfter(this.position)) return true
    return now - this.behindAt >= PASS_OVER_MS
  }
}
