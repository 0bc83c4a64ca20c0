/** When a group has a primary again that this host reaches, as far as something is known to be under way. */

import type { Instant } from '../../id/instant.ts'
import { pace } from './pace.ts'

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
  readonly isHalted: boolean
  /** When the same primary came back, and since when it had been away. */
  readonly backAt: Instant
  readonly awaySince: Instant | undefined
  /** How long successions take from the loss, and how far they differ from that. */
  readonly meanMs: number
  readonly spreadMs: number
}

/** Until one was seen: doubt, asking and the promotion. */
const FIRST_MS = pace.doubtMs + pace.askMs + pace.promotionMs
/** How much a succession that was seen moves the mean and the spread. */
const WEIGHT = 0.25
/** One that was held up for long says little of the next: it counts as so many times the mean at most. */
const CLIP = 2
/** So many spreads after the mean it isn't expected any more. */
const SPREADS = 2
/** The next one differs by this part of the mean at least, however alike the last few were: hosts take turns, and a promotion has a time of its own. */
const LEAST_SPREAD = 0.25
/** A claim is to be seen within this part of the mean; without one nobody is known to act. */
const CLAIMED_WITHIN = 0.5
/** The second claim may repeat an order that was lost; a third shows that promotions don't succeed. */
const MOST_CLAIMS = 2

/**
 * Immutable; what is seen of a loss and of its succession yields the next value.
 *
 * Against statements that are refused for the whole of a succession, though the
 * successor would serve them in time, and against those that are held for a
 * successor that nobody is about to make. Nothing here starts or stops a
 * promotion.
 */
export class Expectation {
  private constructor (private readonly fields: Fields) {}

  static readonly none = new Expectation({
    since: undefined,
    countedFrom: -Infinity as Instant,
    claimedAt: -Infinity as Instant,
    fence: 0,
    claims: 0,
    isHalted: false,
    backAt: -Infinity as Instant,
    awaySince: undefined,
    meanMs: FIRST_MS,
    spreadMs: FIRST_MS / 2
  })

  /**
   * The primary is out of reach, or not known; no change when that was known.
   * Against a primary that comes and goes: each time it's away would count as the
   * beginning of another succession, and statements would wait for it for ever. One that
   * was back for less than a lease lasts goes on being away.
   */
  lost (now: Instant): Expectation {
    const { since, awaySince, backAt } = this.fields
    if (since !== undefined) return this
    if (awaySince !== undefined && now - backAt < pace.leaseMs) return this.with({ since: awaySince })
    return this.with({ since: now, countedFrom: now, claims: 0, isHalted: false, awaySince: undefined })
  }

  /** The same primary answers again. */
  back (now: Instant): Expectation {
    const { since } = this.fields
    return since === undefined ? this : this.with({ since: undefined, awaySince: since, backAt: now })
  }

  /** Another endpoint leads. A loss that follows the claim is that of an ordered handover, and says nothing of how long a succession takes. */
  replaced (now: Instant): Expectation {
    const { since, claimedAt } = this.fields
    const next = since !== undefined && claimedAt >= since ? this.learn(now - since) : this
    return next.with({ since: undefined, awaySince: undefined })
  }

  /** A host claimed the lease of the group under the fence, this one or another; what is heard of it twice counts once. */
  claimed (fence: number, now: Instant): Expectation {
    if (fence <= this.fields.fence) return this
    const { since, countedFrom, claims, meanMs } = this.fields
    const earliest = now - meanMs * CLAIMED_WITHIN as Instant
    const claim = { claimedAt: now, fence, isHalted: false }
    return since === undefined ? this.with(claim) : this.with({ ...claim, claims: claims + 1, countedFrom: countedFrom < earliest ? earliest : countedFrom })
  }

  /** What was under way ends without a promotion: a host reaches the primary, or the store doesn't take what is needed. */
  halted (): Expectation {
    return this.with({ isHalted: true })
  }

  /** Milliseconds until a primary is expected; undefined when none is, so that whoever needs one is to be refused now. */
  leftMs (now: Instant): number | undefined {
    const { since, countedFrom, claimedAt, claims, isHalted, meanMs, spreadMs } = this.fields
    if (since === undefined || isHalted || claims > MOST_CLAIMS) return undefined
    const passed = now - countedFrom
    const isClaimed = now - claimedAt < pace.leaseMs
    if (!isClaimed && passed > meanMs * CLAIMED_WITHIN) return undefined
    const latest = meanMs + SPREADS * spreadMs
    return passed < latest ? Math.max(meanMs - passed, Math.min(spreadMs, latest - passed)) : undefined
  }

  private learn (tookMs: number): Expectation {
    const { meanMs, spreadMs } = this.fields
    const seen = Math.min(tookMs, meanMs * CLIP)
    return this.with({ meanMs: meanMs + WEIGHT * (seen - meanMs), spreadMs: Math.max(meanMs * LEAST_SPREAD, spreadMs + WEIGHT * (Math.abs(seen - meanMs) - spreadMs)) })
  }

  private with (change: Partial<Fields>): Expectation {
    return new Expectation({ ...this.fields, ...change })
  }
}
