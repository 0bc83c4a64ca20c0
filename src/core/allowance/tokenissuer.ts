/** Issues tokens at the places that this host holds. */

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
  /** Milliseconds until there is another token; 0 if there is one now. */
  readonly nextMs: number
}

interface BucketEntry {
  readonly bucket: TokenBucket
  readonly shard: Shard
  readonly since: Instant
}

/** Mutable: every request updates it, and it holds a bucket for each team that has asked. */
export class TokenIssuer {
  private readonly kept = new Map<string, BucketEntry>()
  /** Places whose buckets start with their credit, and since when this host issues there. */
  private readonly credited = new Map<number, Instant>()

  private constructor () {}

  static create (): TokenIssuer {
    return new TokenIssuer()
  }

  /** Adds their credit to the buckets of the place, present and future. */
  credit (place: number, since: Instant, now: Instant): void {
    this.credited.set(place, since)
    for (const [key, kept] of this.kept) {
      if (key.startsWith(`${place}/`) && kept.since === since) this.kept.set(key, { ...kept, bucket: kept.bucket.withTokens(kept.shard.credit, now) })
    }
  }

  /** Issues up to `count` tokens of the team's bucket at the place. */
  issue ({ place, team, count, shard, since }: IssueRequest, now: Instant): IssueResult {
    const key = `${place}/${team}`
    const { next, taken } = this.bucketOf(key, place, shard, since, now).take(count, now)
    this.kept.set(key, { bucket: next, shard, since })
    return { count: taken, nextMs: next.nextMs(now) }
  }

  /** The bucket of a team that hasn't asked before has been filling since this host began to issue. */
  private bucketOf (key: string, place: number, shard: Shard, since: Instant, now: Instant): TokenBucket {
    const kept = this.kept.get(key)
    if (kept === undefined || kept.since !== since) {
      const empty = TokenBucket.since(since, shard)
      return this.credited.get(place) === since ? empty.withTokens(shard.credit, now) : empty
    }
    return kept.shard === shard ? kept.bucket : kept.bucket.withShard(shard, now)
  }
}
