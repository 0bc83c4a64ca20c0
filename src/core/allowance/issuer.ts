/** Issues tokens at the places that are this host's. */

import type { TeamId } from '../id/team.ts'
import type { Instant } from '../id/instant.ts'
import { Bucket } from './bucket.ts'
import type { Shard } from './shard.ts'

interface Wanted {
  readonly place: number
  readonly team: TeamId
  readonly count: number
  readonly shard: Shard
  /** Since when this host issues at the place. */
  readonly since: Instant
}

interface Issued {
  readonly count: number
  /** Milliseconds until there is another token; 0 when there is one now. */
  readonly nextMs: number
}

interface Kept {
  readonly bucket: Bucket
  readonly shard: Shard
  readonly since: Instant
}

/** Changes in place: it's touched by every question, and holds a bucket for each team that asked. */
export class Issuer {
  private readonly kept = new Map<string, Kept>()

  private constructor () {}

  static create (): Issuer {
    return new Issuer()
  }

  issue ({ place, team, count, shard, since }: Wanted, now: Instant): Issued {
    const key = `${place}/${team}`
    const { next, taken } = this.bucketOf(key, shard, since, now).take(count, now)
    this.kept.set(key, { bucket: next, shard, since })
    return { count: taken, nextMs: next.nextMs(now) }
  }

  /** A team that didn't ask yet got nothing since this host issues, so its bucket has been filling since. */
  private bucketOf (key: string, shard: Shard, since: Instant, now: Instant): Bucket {
    const kept = this.kept.get(key)
    if (kept === undefined || kept.since !== since) return Bucket.since(since, shard)
    return kept.shard === shard ? kept.bucket : kept.bucket.under(shard, now)
  }
}
