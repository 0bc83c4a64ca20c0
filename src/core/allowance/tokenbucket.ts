/** The token bucket of one shard. */

import type { Instant } from '../id/instant.ts'
import type { Shard } from './shard.ts'

/**
 * Immutable. A token permits one operation. Instants are of the monotonic clock: a clock that runs during suspension would make the bucket
 * appear full afterwards.
 */
export class TokenBucket {
  private constructor (private readonly shard: Shard, private readonly level: number, private readonly at: Instant) {}

  /** A bucket that was empty at the instant and has been filling since. */
  static since (at: Instant, shard: Shard): TokenBucket {
    return new TokenBucket(shard, 0, at)
  }

  /** This bucket with tokens added, up to its depth. */
  withTokens (tokens: number, now: Instant): TokenBucket {
    return new TokenBucket(this.shard, Math.min(this.shard.depth, this.levelAt(now) + tokens), now)
  }

  /** This bucket with the limits of another shard from now on; it keeps its tokens up to the new depth. */
  withShard (shard: Shard, now: Instant): TokenBucket {
    return new TokenBucket(shard, Math.min(this.levelAt(now), shard.depth), now)
  }

  /** Takes up to `wanted` whole tokens. */
  take (wanted: number, now: Instant): { readonly next: TokenBucket, readonly taken: number } {
    const level = this.levelAt(now)
    const taken = Math.max(0, Math.min(wanted, Math.floor(level)))
    return { next: new TokenBucket(this.shard, level - taken, now), taken }
  }

  /** Milliseconds until there is a whole token; `Infinity` if there never will be. */
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
