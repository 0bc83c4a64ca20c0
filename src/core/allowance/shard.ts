/** One shard of a team's allowance. */

import { weightOf } from '../weight.ts'
import type { AllowanceBounds } from './bounds.ts'
import type { Rate } from './rate.ts'

/**
 * Each shard is issued by a host of its own, so a part of the hosts that is cut off from the rest has about the same part of each allowance as of its callers. With three
 * shards a third of the hosts had none of a team's for most teams, and refused all that came for as long as a cut lasted.
 */
const MAX_SHARDS = 12
/** Whole tokens that a shard's bucket holds at least: with one, what has gathered of the next is of no use, and a small team was refused 0.3% of what it asked below its limit (in the model of many hosts). */
const MIN_DEPTH_TOKENS = 2
/** What the tolerance is used for: deeper buckets, so that the shards of a small burst hold whole tokens; */
const DEPTH_SHARE = 0.3
/** tokens that an issuer has in hand when it starts anew and doesn't know what its life before issued; */
const CREDIT_SHARE = 0.4
/** and tokens that are used later than they were issued. */
const LATE_USE_SHARE = 1 - DEPTH_SHARE - CREDIT_SHARE

/** Immutable. */
export class Shard {
  static readonly most = MAX_SHARDS

  private constructor (
    /** Shards that the allowance is divided into. */
    readonly count: number,
    /** Tokens that come in a millisecond. */
    readonly perMs: number,
    /** The most that gather. */
    readonly depth: number,
    /** Tokens that an issuer may begin with, once in a window. */
    readonly credit: number,
    /** A token counts for so long from the question for it; milliseconds. */
    readonly lifetimeMs: number
  ) {}

  /**
   * In any span tokens are issued at most for depth + credit + rate x span, and used at most a lifetime later: in a window no more than
   * rate x window + burst + tolerance run, whatever part of them is used late.
   */
  static of ({ perSecond, burst }: Rate, { windowMs, overage, slack }: AllowanceBounds): Shard {
    const tolerance = overage * (perSecond * windowMs / 1000 + burst) + slack
    const depth = burst + tolerance * DEPTH_SHARE
    const count = Math.max(1, Math.min(MAX_SHARDS, Math.floor(depth / MIN_DEPTH_TOKENS)))
    const lifetimeMs = perSecond > 0 ? Math.min(windowMs, tolerance * LATE_USE_SHARE * 1000 / perSecond) : windowMs
    return new Shard(count, perSecond / 1000 / count, depth / count, tolerance * CREDIT_SHARE / count, lifetimeMs)
  }

  /** Which of the places issue the team's shards. */
  placesOf (team: string, places: number): readonly number[] {
    return Array.from({ length: places }, (_, place) => place)
      .map(place => ({ place, weight: weightOf(`${team}/${place}`) }))
      .sort((a, b) => b.weight - a.weight)
      .slice(0, this.count)
      .map(({ place }) => place)
  }
}
