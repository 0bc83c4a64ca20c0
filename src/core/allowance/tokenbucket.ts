/** The tokens of one shard that can be issued. */

import type { Instant } from '../id/instant.ts'
import type { Shard } from './shard.ts'

/** Immutable. A token stands for one operation. Instants are of the monotonic clock: one that leaps over a suspension would fill the bucket at once. */
export class TokenBucket {
  private constructor (private readonly shard: Shard, private readonly level: number, private readonly at: Instant) {}

  /** Empty at the moment, and filled since. */
  static since (at: Instant, shard: Shard): TokenBucket {
    return new TokenBucket(shard, 0, at)
  }

  /** With so many tokens more, as far as there is room. */
  withTokens (tokens: number, now: Instant): TokenBucket {
    return new TokenBucket(this.shard, Math.min(this.shard.depth, this.levelAt(now) + tokens), now)
  }

  /** Under other limits from now on. What gathered stays, as far as it may. */
  withShard (shard: Shard, now: Instant): TokenBucket {
    return new TokenBucket(shard, Math.min(this.levelAt(now), shard.depth), now)
  }

  /** Takes whole tokens, as many as there are and no more than are wanted. */
  take (wanted: number, now: Instant): { readonly next: TokenBucket, readonly taken: number } {
    const level = this.levelAt(now)
    const taken = Math.max(0, Math.min(wanted, Math.floor(level)))
    return { next: new TokenBucket(this.shard, level - taken, now), taken }
  }

  /** Milliseconds until there is a whole token; infinite where none ever comes. */
  nextMs (now: Instant): number {
    const missing = 1 - this.levelAt(now)
    if (missing <= 0) return 0
    return this.shard.perMs > 0 && this.shard.depth >= 1 ? Math.ceil(missing / this.shard.perMs) : Infinity
  }

  private levelAt (now: Instant): number {
    const ms = Math.max(0, now - this.at)
    return Math.min(this.shard.depth, ms === Infinity ? this.shard.depth : this.level + ms * this.shard.perMs)
  }
}
