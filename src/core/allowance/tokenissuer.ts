/** Issues tokens at the places that are this host's. */

import type { TeamId } from '../id/team.ts'
import type { Instant } from '../id/instant.ts'
import { TokenBucket } from './tokenbucket.ts'
import type { Shard } from './shard.ts'

interface IssueRequest {
  readonly place: number
  readonly team: TeamId
  readonly count: number
  readonly shard: Shard
  /** Since when this host issues at the place. */
  readonly since: Instant
}

interface IssueResult {
  readonly count: number
  /** Milliseconds until there is another token; 0 when there is one now. */
  readonly nextMs: number
}

interface BucketEntry {
  readonly bucket: TokenBucket
  readonly shard: Shard
  readonly since: Instant
}

/** Changes in place: it's touched by every question, and holds a bucket for each team that asked. */
export class TokenIssuer {
  private readonly kept = new Map<string, BucketEntry>()
  /** Places at which buckets begin with their credit, and since when this host issues there. */
  private readonly credited = new Map<number, Instant>()

  private constructor () {}

  static create (): TokenIssuer {
    return new TokenIssuer()
  }

  /** Buckets of the place began with their credit. */
  credit (place: number, since: Instant, now: Instant): void {
    this.credited.set(place, since)
    for (const [key, kept] of this.kept) {
      if (key.startsWith(`${place}/`) && kept.since === since) this.kept.set(key, { ...kept, bucket: kept.bucket.withTokens(kept.shard.credit, now) })
    }
  }

  issue ({ place, team, count, shard, since }: IssueRequest, now: Instant): IssueResult {
    const key = `${place}/${team}`
    const { next, taken } = this.bucketOf(key, place, shard, since, now).take(count, now)
    this.kept.set(key, { bucket: next, shard, since })
    return { count: taken, nextMs: next.nextMs(now) }
  }

  /** A team that didn't ask yet got nothing since this host issues, so its bucket has been filling since. */
  private bucketOf (key: string, place: number, shard: Shard, since: Instant, now: Instant): TokenBucket {
    const kept = this.kept.get(key)
    if (kept === undefined || kept.since !== since) {
      const empty = TokenBucket.since(since, shard)
      return this.credited.get(place) === since ? empty.withTokens(shard.credit, now) : empty
    }
    return kept.shard === shard ? kept.bucket : kept.bucket.withShard(shard, now)
  }
}
