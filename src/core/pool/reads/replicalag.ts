/** How far one replica is behind, and when its log will contain a position. */

import type { Instant } from '../../id/instant.ts'
import type { Token } from '../../token.ts'

interface LagBounds {
  /** The replica lacks something that the primary had this long ago; 0 if it lacks nothing that is known. */
  readonly minMs: number
  /** The replica has something that the primary didn't have yet this long ago; undefined if unknown. */
  readonly maxMs: number | undefined
}

/** Updated with every answer; instants are read from the `AgeClock`. */
interface Measurement {
  readonly position: Token
  readonly seenAt: Instant
  /** Undefined until both bounds were known at once. */
  readonly lagMs: number | undefined
  /** The minimum lag seen, taken as the lag of a healthy replica. */
  readonly baselineMs: number
  /** When it last refused a read because it was behind. */
  readonly refusedAt: number
  /** When a read was last sent to it although it wasn't known to contain the position. */
  readonly trialAt: number
}

/** Interval between trial reads at a replica that is behind, and so the time within which it is used again after catching up. */
const RETRY_MS = 100
/** A replica whose lag exceeds its baseline by this factor isn't waited for: nobody knows for how long. */
const MAX_BASELINE_FACTOR = 2
/** Upper bound of the baseline, for a host that started while the replica was already far behind. */
const MAX_BASELINE_MS = 500

/**
 * Estimates from the answers of a replica when it will contain a position, so that no read is sent there in vain. Each answer's position is compared with
 * what the primary had at which instant. The lag may end at any time, so a single read tries a replica that is far behind now and then. Immutable; each
 * answer yields the next value.
 */
export class ReplicaLag {
  private constructor (private readonly measurement: Measurement | undefined) {}

  static readonly unknown = new ReplicaLag(undefined)

  answered (position: Token, { minMs, maxMs }: LagBounds, now: Instant): ReplicaLag {
    const before = this.measurement
    const middleMs = maxMs === undefined ? undefined : (minMs + maxMs) / 2
    const lagMs = before?.lagMs === undefined ? middleMs : Math.max(minMs, Math.min(before.lagMs, maxMs ?? Infinity))
    const baselineMs = Math.min(before?.baselineMs ?? Infinity, lagMs ?? Infinity)
    return new ReplicaLag({ position, seenAt: now, lagMs, baselineMs, refusedAt: before?.refusedAt ?? -Infinity, trialAt: before?.trialAt ?? -Infinity })
  }

  /** The replica refused a read because its log didn't contain the position. */
  withRefusal (now: Instant): ReplicaLag {
    return this.measurement === undefined ? this : new ReplicaLag({ ...this.measurement, refusedAt: now })
  }

  /** A read that needs the position is sent to the replica. */
  withRead (position: Token, now: Instant): ReplicaLag {
    return this.measurement === undefined || !position.isAfter(this.measurement.position) ? this : new ReplicaLag({ ...this.measurement, trialAt: now })
  }

  /**
   * Milliseconds until the replica should be asked for the position, 0 for now; undefined if no time can be given. `reachedAt`: when the primary was known
   * to have the position; undefined if unknown.
   */
  waitMs (position: Token, reachedAt: Instant | undefined, now: Instant): number | undefined {
    if (this.measurement === undefined) return 0
    const { position: contained, lagMs, baselineMs, refusedAt } = this.measurement
    if (!position.isAfter(contained)) return 0
    const remainingMs = lagMs === undefined || reachedAt === undefined ? 0 : reachedAt + lagMs - now
    if (remainingMs <= 0) return now - refusedAt >= RETRY_MS ? 0 : undefined
    const healthyMs = Math.min(baselineMs, MAX_BASELINE_MS)
    if (lagMs! <= healthyMs * MAX_BASELINE_FACTOR) return remainingMs
    return this.isTrialDue(now) && now - reachedAt! >= healthyMs ? 0 : undefined
  }

  private isTrialDue (now: Instant): boolean {
    const { seenAt, refusedAt, trialAt } = this.measurement!
    return now - Math.max(seenAt, refusedAt, trialAt) >= RETRY_MS
  }
}
