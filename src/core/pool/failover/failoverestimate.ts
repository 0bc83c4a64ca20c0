/** When a group has a primary again that this host reaches, as far as something is known to be under way. */

import type { Instant } from '../../id/instant.ts'
import { timings } from './timings.ts'

interface Fields {
  /** Since when there is none; undefined while there is one. */
  readonly since: Instant | undefined
  /** From when the succession is counted: a claim that came late moves it. */
  readonly countedFrom: Instant
  /** When this host last saw a claim of the lease, under which fence, and how many since there is no primary. */
  readonly claimedAt: Instant
  readonly fence: number
  readonly claims: number
  /** Whether what was under way came to nothing, and no claim was seen since. */
  readonly isAborted: boolean
  /** When the same primary came back, and since when it had been away. */
  readonly returnedAt: Instant
  readonly absentSince: Instant | undefined
  /** How long successions take from the loss, and how far they differ from that. */
  readonly meanMs: number
  readonly deviationMs: number
}

/** Until one was seen: doubt, asking and the promotion. */
const INITIAL_MEAN_MS = timings.suspectAfterMs + timings.objectionWaitMs + timings.promotionMs
/** How much a succession that was seen moves the mean and the spread. */
const SAMPLE_WEIGHT = 0.25
/** One that was held up for long says little of the next: it counts as so many times the mean at most. */
const MAX_SAMPLE_FACTOR = 2
/** So many spreads after the mean it isn't expected any more. */
const MAX_DEVIATIONS = 2
/** The next one differs by this part of the mean at least, however alike the last few were: hosts take turns, and a promotion has a time of its own. */
const MIN_DEVIATION_SHARE = 0.25
/** A claim is to be seen within this part of the mean; without one nobody is known to act. */
const CLAIM_SHARE = 0.5
/** The second claim may repeat an order that was lost; a third shows that promotions don't succeed. */
const MAX_CLAIMS = 2

/**
 * Immutable; what is seen of a loss and of its succession yields the next value.
 *
 * Against statements that are refused for the whole of a succession, though the
 * successor would serve them in time, and against those that are held for a
 * successor that nobody is about to make. Nothing here starts or stops a
 * promotion.
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
   * The primary is out of reach, or not known; no change when that was known.
   * Against a primary that comes and goes: each time it's away would count as the
   * beginning of another succession, and statements would wait for it for ever. One that
   * was back for less than a lease lasts goes on being away.
   */
  lost (now: Instant): FailoverEstimate {
    const { since, absentSince: awaySince, returnedAt: backAt } = this.fields
    if (since !== undefined) return this
    if (awaySince !== undefined && now - backAt < timings.leaseMs) return this.with({ since: awaySince })
    return this.with({ since: now, countedFrom: now, claims: 0, isAborted: false, absentSince: undefined })
  }

  /** The same primary answers again. */
  back (now: Instant): FailoverEstimate {
    const { since } = this.fields
    return since === undefined ? this : this.with({ since: undefined, absentSince: since, returnedAt: now })
  }

  /** Another endpoint leads. A loss that follows the claim is that of an ordered handover, and says nothing of how long a succession takes. */
  replaced (now: Instant): FailoverEstimate {
    const { since, claimedAt } = this.fields
    const next = since !== undefined && claimedAt >= since ? this.withSample(now - since) : this
    return next.with({ since: undefined, absentSince: undefined })
  }

  /** A host claimed the lease of the group under the fence, this one or another; what is heard of it twice counts once. */
  claimed (fence: number, now: Instant): FailoverEstimate {
    if (fence <= this.fields.fence) return this
    const { since, countedFrom, claims, meanMs } = this.fields
    const earliest = now - meanMs * CLAIM_SHARE as Instant
    const claim = { claimedAt: now, fence, isAborted: false }
    return since === undefined ? this.with(claim) : this.with({ ...claim, claims: claims + 1, countedFrom: countedFrom < earliest ? earliest : countedFrom })
  }

  /** What was under way ends without a promotion: a host reaches the primary, or the store doesn't take what is needed. */
  aborted (): FailoverEstimate {
    return this.with({ isAborted: true })
  }

  /** Milliseconds until a primary is expected; undefined when none is, so that whoever needs one is to be refused now. */
  remainingMs (now: Instant): number | undefined {
    const { since, countedFrom, claimedAt, claims, isAborted: isHalted, meanMs, deviationMs: spreadMs } = this.fields
    if (since === undefined || isHalted || claims > MAX_CLAIMS) return undefined
    const passed = now - countedFrom
    const isClaimed = now - claimedAt < timings.leaseMs
    if (!isClaimed && passed > meanMs * CLAIM_SHARE) return undefined
    const latest = meanMs + MAX_DEVIATIONS * spreadMs
    return passed < latest ? Math.max(meanMs - passed, Math.min(spreadMs, latest - passed)) : undefined
  }

  private withSample (tookMs: number): FailoverEstimate {
    const { meanMs, deviationMs: spreadMs } = this.fields
    const seen = Math.min(tookMs, meanMs * MAX_SAMPLE_FACTOR)
    return this.with({ meanMs: meanMs + SAMPLE_WEIGHT * (seen - meanMs), deviationMs: Math.max(meanMs * MIN_DEVIATION_SHARE, spreadMs + SAMPLE_WEIGHT * (Math.abs(seen - meanMs) - spreadMs)) })
  }

  private with (change: Partial<Fields>): FailoverEstimate {
    return new FailoverEstimate({ ...this.fields, ...change })
  }
}
