/** Estimates when a group that lost its primary will have one again. */

import type { Instant } from '../../id/instant.ts'
import { timings } from './timings.ts'

interface Fields {
  /** When the primary was lost; undefined while there is one. */
  readonly since: Instant | undefined
  /** Start of the failover for the estimate; a late claim moves it forward. */
  readonly countedFrom: Instant
  /** When this host last saw the lease claimed, the fence of that claim, and the number of claims since the primary was lost. */
  readonly claimedAt: Instant
  readonly fence: number
  readonly claims: number
  /** Whether the failover ended without a promotion and no claim was seen since. */
  readonly isAborted: boolean
  /** When the same primary last came back, and when it had been lost. */
  readonly returnedAt: Instant
  readonly absentSince: Instant | undefined
  /** Moving averages of the duration of failovers, from the loss to the new primary, and of its deviation. */
  readonly meanMs: number
  readonly deviationMs: number
}

/** Assumed duration until a failover was seen: detection, objections and promotion. */
const INITIAL_MEAN_MS = timings.suspectAfterMs + timings.objectionWaitMs + timings.promotionMs
/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.25
/** A sample counts as at most this multiple of the mean, so that one delayed failover doesn't distort it. */
const MAX_SAMPLE_FACTOR = 2
/** The new primary is no longer expected this many deviations after the mean. */
const MAX_DEVIATIONS = 2
/** Least deviation, as a share of the mean. */
const MIN_DEVIATION_SHARE = 0.25
/** Without a claim within this share of the mean no host is known to act. */
const CLAIM_SHARE = 0.5
/** A second claim may repeat an order that was lost; a third one shows that promotions fail. */
const MAX_CLAIMS = 2

/**
 * Decides whether a statement that needs a primary waits for the new one or is refused at once. It only observes failovers and neither
 * starts nor stops one. Immutable; each observation returns the next value.
 */
export class FailoverEstimate {
  private constructor (private readonly fields: Fields) {}

  static readonly none = new FailoverEstimate({
    since: undefined,
    countedFrom: -Infinity as Instant,
    claimedAt: -Infinity as Instant,
    fence: 0,
    claims: 0,
    isAborted: false,
    returnedAt: -Infinity as Instant,
    absentSince: undefined,
    meanMs: INITIAL_MEAN_MS,
    deviationMs: INITIAL_MEAN_MS / 2
  })

  /**
   * The primary is out of reach or unknown. A primary that was back for less than the duration of a lease counts as lost since its
   * earlier loss, so that statements don't wait anew each time an unstable primary disappears.
   */
  lost (now: Instant): FailoverEstimate {
    const { since, absentSince, returnedAt } = this.fields
    if (since !== undefined) return this
    if (absentSince !== undefined && now - returnedAt < timings.leaseMs) return this.with({ since: absentSince })
    return this.with({ since: now, countedFrom: now, claims: 0, isAborted: false, absentSince: undefined })
  }

  /** The same primary answers again. */
  back (now: Instant): FailoverEstimate {
    const { since } = this.fields
    return since === undefined ? this : this.with({ since: undefined, absentSince: since, returnedAt: now })
  }

  /** Another endpoint leads. A loss after the claim is part of a planned handover, so its duration isn't sampled. */
  replaced (now: Instant): FailoverEstimate {
    const { since, claimedAt } = this.fields
    const next = since !== undefined && claimedAt >= since ? this.withSample(now - since) : this
    return next.with({ since: undefined, absentSince: undefined })
  }

  /** A host, this one or another, claimed the group's lease under the fence. Repeated reports of the same claim are ignored. */
  claimed (fence: number, now: Instant): FailoverEstimate {
    if (fence <= this.fields.fence) return this
    const { since, countedFrom, claims, meanMs } = this.fields
    const earliest = now - meanMs * CLAIM_SHARE as Instant
    const claim = { claimedAt: now, fence, isAborted: false }
    return since === undefined ? this.with(claim) : this.with({ ...claim, claims: claims + 1, countedFrom: countedFrom < earliest ? earliest : countedFrom })
  }

  /** The failover ends without a promotion: a host reaches the primary, or the store isn't available. */
  aborted (): FailoverEstimate {
    return this.with({ isAborted: true })
  }

  /** Milliseconds until a primary is expected; undefined when none is expected, so that statements that need one are refused now. */
  remainingMs (now: Instant): number | undefined {
    const { since, countedFrom, claimedAt, claims, isAborted, meanMs, deviationMs } = this.fields
    if (since === undefined || isAborted || claims > MAX_CLAIMS) return undefined
    const passed = now - countedFrom
    const isClaimed = now - claimedAt < timings.leaseMs
    if (!isClaimed && passed > meanMs * CLAIM_SHARE) return undefined
    const latest = meanMs + MAX_DEVIATIONS * deviationMs
    return passed < latest ? Math.max(meanMs - passed, Math.min(deviationMs, latest - passed)) : undefined
  }

  private withSample (tookMs: number): FailoverEstimate {
    const { meanMs, deviationMs } = this.fields
    const sampleMs = Math.min(tookMs, meanMs * MAX_SAMPLE_FACTOR)
    return this.with({ meanMs: meanMs + SAMPLE_WEIGHT * (sampleMs - meanMs), deviationMs: Math.max(meanMs * MIN_DEVIATION_SHARE, deviationMs + SAMPLE_WEIGHT * (Math.abs(sampleMs - meanMs) - deviationMs)) })
  }

  private with (change: Partial<Fields>): FailoverEstimate {
    return new FailoverEstimate({ ...this.fields, ...change })
  }
}
