/** One shard of a team's allowance. */

import { weightOf } from '../weight.ts'
import type { AllowanceBounds } from './bounds.ts'
import type { Rate } from './rate.ts'

/**
 * Each shard is issued by a different host, so that hosts that are cut off from the rest keep about the same part of each allowance
 * as of its callers. With few shards a small partition would have none of most teams' tokens.
 */
const MAX_SHARDS = 12
/**
 * Minimum depth of a shard's bucket in tokens. With a depth of one, fractions of the next token would be wasted: in the model of many
 * hosts a small team below its limit was refused 0.3% of its operations.
 */
const MIN_DEPTH_TOKENS = 2
/** Share of the tolerance used for deeper buckets, so that the shards of a small burst hold whole tokens. */
const DEPTH_SHARE = 0.3
/** Share of the tolerance used for the credit of an issuer that starts without knowing what its previous incarnation issued. */
const CREDIT_SHARE = 0.4
/** Share of the tolerance used for tokens that are used later than they were issued. */
const LATE_USE_SHARE = 1 - DEPTH_SHARE - CREDIT_SHARE

/** Immutable. */
export class Shard {
  static readonly most = MAX_SHARDS

  private constructor (
    /** Number of shards of the allowance. */
    readonly count: number,
    /** Fill rate in tokens per millisecond. */
    readonly perMs: number,
    /** Maximum number of tokens in the bucket. */
    readonly depth: number,
    /** Tokens with which an issuer may start, once per window. */
    readonly credit: number,
    /** How long a token is valid from the request for it, in milliseconds. */
    readonly lifetimeMs: number
  ) {}

  /**
   * Divides an allowance. In any span at most depth + credit + rate x span tokens are issued, and each is used at most one lifetime
   * later, so that at most rate x window + burst + tolerance operations run in a window.
   */
  static of ({ perSecond, burst }: Rate, { windowMs, overage, slack }: AllowanceBounds): Shard {
    const tolerance = overage * (perSecond * windowMs / 1000 + burst) + slack
    const depth = burst + tolerance * DEPTH_SHARE
    const count = Math.max(1, Math.min(MAX_SHARDS, Math.floor(depth / MIN_DEPTH_TOKENS)))
    const lifetimeMs = perSecond > 0 ? Math.min(windowMs, tolerance * LATE_USE_SHARE * 1000 / perSecond) : windowMs
    return new Shard(count, perSecond / 1000 / count, depth / count, tolerance * CREDIT_SHARE / count, lifetimeMs)
  }

  /** The places that issue the team's shards. */
  placesOf (team: string, places: number): readonly number[] {
    return Array.from({ length: places }, (_, place) => place)
      .map(place => ({ place, weight: weightOf(`${team}/${place}`) }))
      .sort((a, b) => b.weight - a.weight)
      .slice(0, this.count)
      .map(({ place }) => place)
  }
}
