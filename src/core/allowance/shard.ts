/** One shard of a team's allowance. */

import { weightOf } from '../weight.ts'
import type { AllowanceBounds } from './bounds.ts'
import type { Rate } from './rate.ts'

/** Each shard is issued by a host of its own. With one of three out of reach the others still give two thirds, about what a team uses that has half as much again as it needs. */
const SHARDS = 3
/** The part of the tolerance by which buckets are deeper, so that the shards of a small burst hold whole tokens; the rest of it is for tokens that are used later than they were issued. */
const DEPTH_SHARE = 0.5

/** Immutable. */
export class Shard {
  static readonly count = SHARDS

  private constructor (
    /** Tokens that come in a millisecond. */
    readonly perMs: number,
    /** The most that gather. */
    readonly depth: number,
    /** A token counts for so long from the question for it; milliseconds. */
    readonly lifetimeMs: number
  ) {}

  /**
   * In any span tokens are issued at most for depth + rate x span, and used at most a lifetime later: in a window no more than
   * rate x window + burst + tolerance run, whatever part of them is used late.
   */
  static of ({ perSecond, burst }: Rate, { windowMs, overage, slack }: AllowanceBounds): Shard {
    const tolerance = overage * (perSecond * windowMs / 1000 + burst) + slack
    const left = tolerance * (1 - DEPTH_SHARE)
    return new Shard(
      perSecond / 1000 / SHARDS,
      (burst + tolerance * DEPTH_SHARE) / SHARDS,
      Math.min(windowMs, perSecond > 0 ? left * 1000 / perSecond : windowMs)
    )
  }

  /** Which of the places issue the team's shards. */
  static placesOf (team: string, places: number): readonly number[] {
    return Array.from({ length: places }, (_, place) => place)
      .map(place => ({ place, weight: weightOf(`${team}/${place}`) }))
      .sort((a, b) => b.weight - a.weight)
      .slice(0, SHARDS)
      .map(({ place }) => place)
  }
}
