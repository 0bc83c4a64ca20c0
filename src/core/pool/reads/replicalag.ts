/** How far one replica is behind, and when it will hold a position. */

import type { Instant } from '../../id/instant.ts'
import type { Token } from '../../token.ts'

interface LagBounds {
  /** It lacks something that the primary had so long ago; 0 when it lacks nothing that is known. */
  readonly minMs: number
  /** It has something that the primary hadn't yet so long ago; undefined when that isn't known. */
  readonly maxMs: number | undefined
}

/** Measured with every answer: instants by the clock that tells ages. */
interface Measurement {
  readonly position: Token
  readonly seenAt: Instant
  /** Undefined until both bounds were known at once. */
  readonly lagMs: number | undefined
  /** The least that it ever was: so far the replica is behind when nothing is wrong. */
  readonly baselineMs: number
  /** When it last refused a read for want of a position, */
  readonly refusedAt: number
  /** and when one was last sent to it although it wasn't known to hold the position. */
  readonly trialAt: number
}

/** A replica that was behind is asked again so often: it's to be used within this time of its catching up. */
const RETRY_MS = 100
/** One that is so many times further behind than usual isn't waited for: nobody knows for how long. */
const MAX_BASELINE_FACTOR = 2
/** One that was never less than this behind, as seen by a host that started meanwhile, isn't as usual. */
const MAX_BASELINE_MS = 500

/**
 * Against reads that are sent to a replica in vain: each costs a way there and back, and one that was seconds behind was asked over and over by every session. What an answer shows is
 * compared with what the primary had at which instant, so it's known when the replica will hold a position, as long as
 * its lag stays. It may end at any time, though, so a single read tries it again now and then. Immutable; each answer yields the next.
 */
export class ReplicaLag {
  private constructor (private readonly measurement: Measurement | undefined) {}

  static readonly unknown = new ReplicaLag(undefined)

  answered (position: Token, { minMs: leastMs, maxMs: mostMs }: LagBounds, now: Instant): ReplicaLag {
    const before = this.measurement
    const firstMs = mostMs === undefined ? undefined : (leastMs + mostMs) / 2
    const lagMs = before?.lagMs === undefined ? firstMs : Math.max(leastMs, Math.min(before.lagMs, mostMs ?? Infinity))
    const usualMs = Math.min(before?.baselineMs ?? Infinity, lagMs ?? Infinity)
    return new ReplicaLag({ position, seenAt: now, lagMs, baselineMs: usualMs, refusedAt: before?.refusedAt ?? -Infinity, trialAt: before?.trialAt ?? -Infinity })
  }

  /** It refused a read since its log was short of what the read needs. */
  withRefusal (now: Instant): ReplicaLag {
    return this.measurement === undefined ? this : new ReplicaLag({ ...this.measurement, refusedAt: now })
  }

  /** A read goes there for the position. */
  withRead (position: Token, now: Instant): ReplicaLag {
    return this.measurement === undefined || !position.isAfter(this.measurement.position) ? this : new ReplicaLag({ ...this.measurement, trialAt: now })
  }

  /**
   * Milliseconds until it's worth asking for the position, 0 for at once; undefined when it can't be told when. `passedAt`: when the primary was known to have the
   * position; undefined where that isn't known.
   */
  waitMs (position: Token, reachedAt: Instant | undefined, now: Instant): number | undefined {
    if (this.measurement === undefined) return 0
    const { position: held, lagMs, baselineMs: usualMs, refusedAt: shortAt } = this.measurement
    if (!position.isAfter(held)) return 0
    const leftMs = lagMs === undefined || reachedAt === undefined ? 0 : reachedAt + lagMs - now
    if (leftMs <= 0) return now - shortAt >= RETRY_MS ? 0 : undefined
    const asUsualMs = Math.min(usualMs, MAX_BASELINE_MS)
    if (lagMs! <= asUsualMs * MAX_BASELINE_FACTOR) return leftMs
    return this.isTrialDue(now) && now - reachedAt! >= asUsualMs ? 0 : undefined
  }

  private isTrialDue (now: Instant): boolean {
    const { seenAt, refusedAt: shortAt, trialAt: triedAt } = this.measurement!
    return now - Math.max(seenAt, shortAt, triedAt) >= RETRY_MS
  }
}
