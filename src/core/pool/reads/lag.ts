/** How far one replica is behind, and when it will hold a position. */

import type { Instant } from '../../id/instant.ts'
import type { Token } from '../../token.ts'

interface Bounds {
  /** It lacks something that the primary had so long ago; 0 when it lacks nothing that is known. */
  readonly leastMs: number
  /** It has something that the primary hadn't yet so long ago; undefined when that isn't known. */
  readonly mostMs: number | undefined
}

/** Measured with every answer: instants by the clock that tells ages. */
interface Measures {
  readonly position: Token
  readonly seenAt: Instant
  /** Undefined until both bounds were known at once. */
  readonly lagMs: number | undefined
  /** The least that it ever was: so far the replica is behind when nothing is wrong. */
  readonly usualMs: number
  /** When it last refused a read for want of a position, */
  readonly shortAt: number
  /** and when one was last sent to it although it wasn't known to hold the position. */
  readonly triedAt: number
}

/** A replica that was behind is asked again so often: it's to be used within this time of its catching up. */
const AGAIN_MS = 100
/** One that is so many times further behind than usual isn't waited for: nobody knows for how long. */
const BEHIND_TIMES = 2
/** One that was never less than this behind, as seen by a host that started meanwhile, isn't as usual. */
const MOST_USUAL_MS = 500

/**
 * Against reads that are sent to a replica in vain: each costs a way there and back, and one that was seconds behind was asked over and over by every session. What an answer shows is
 * compared with what the primary had at which instant, so it's known when the replica will hold a position, as long as
 * its lag stays. It may end at any time, though, so a single read tries it again now and then. Immutable; each answer yields the next.
 */
export class Lag {
  private constructor (private readonly measures: Measures | undefined) {}

  static readonly unknown = new Lag(undefined)

  answered (position: Token, { leastMs, mostMs }: Bounds, now: Instant): Lag {
    const before = this.measures
    const firstMs = mostMs === undefined ? undefined : (leastMs + mostMs) / 2
    const lagMs = before?.lagMs === undefined ? firstMs : Math.max(leastMs, Math.min(before.lagMs, mostMs ?? Infinity))
    const usualMs = Math.min(before?.usualMs ?? Infinity, lagMs ?? Infinity)
    return new Lag({ position, seenAt: now, lagMs, usualMs, shortAt: before?.shortAt ?? -Infinity, triedAt: before?.triedAt ?? -Infinity })
  }

  /** It refused a read since its log was short of what the read needs. */
  fellShort (now: Instant): Lag {
    return this.measures === undefined ? this : new Lag({ ...this.measures, shortAt: now })
  }

  /** A read goes there for the position. */
  asked (position: Token, now: Instant): Lag {
    return this.measures === undefined || !position.isAfter(this.measures.position) ? this : new Lag({ ...this.measures, triedAt: now })
  }

  /**
   * Milliseconds until it's worth asking for the position, 0 for at once; undefined when it can't be told when. `passedAt`: when the primary was known to have the
   * position; undefined where that isn't known.
   */
  waitMs (position: Token, passedAt: Instant | undefined, now: Instant): number | undefined {
    if (this.measures === undefined) return 0
    const { position: held, lagMs, usualMs, shortAt } = this.measures
    if (!position.isAfter(held)) return 0
    const leftMs = lagMs === undefined || passedAt === undefined ? 0 : passedAt + lagMs - now
    if (leftMs <= 0) return now - shortAt >= AGAIN_MS ? 0 : undefined
    const asUsualMs = Math.min(usualMs, MOST_USUAL_MS)
    if (lagMs! <= asUsualMs * BEHIND_TIMES) return leftMs
    return this.isTryDue(now) && now - passedAt! >= asUsualMs ? 0 : undefined
  }

  private isTryDue (now: Instant): boolean {
    const { seenAt, shortAt, triedAt } = this.measures!
    return now - Math.max(seenAt, shortAt, triedAt) >= AGAIN_MS
  }
}
