/** What a failover monitor knows of its group, and its judgement of the primary. */

import type { Group } from '../group/group.ts'
import type { Sample } from '../group/sample.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { Position } from '../id/position.ts'
import type { FailoverTimings } from './timings.ts'

interface Fields {
  readonly group: Group
  readonly timings: FailoverTimings
  /** Missed probes of the primary since anybody reached it. */
  readonly misses: number
  /** When anybody last reached a primary of the highest term. */
  readonly primarySeenAt: Instant
  /** How much of the primary's log its best replica had, and when that was last all or grew. */
  readonly copiedPosition: Position
  readonly copyProgressAt: Instant
}

/** Immutable; samples and misses yield the next value. */
export class FailureDetector {
  private constructor (private readonly fields: Fields) {}

  static create (group: Group, pace: FailoverTimings, now: Instant): FailureDetector {
    return new FailureDetector({ group, timings: pace, misses: 0, primarySeenAt: now, copiedPosition: 0 as Position, copyProgressAt: now })
  }

  get group (): Group {
    return this.fields.group
  }

  /** Whether so many probes in a row missed the primary as count for its failure. */
  get hasMissedProbes (): boolean {
    return this.fields.misses >= this.fields.timings.misses
  }

  /**
   * Against a link of one slot owner that is cut while the primary is well:
   * this process's probes miss, yet the other owner's samples keep arriving.
   * So misses alone suspect nothing; nobody may have reached the primary for
   * the quiet time. When the other owner is gone no samples arrive either, and
   * the one that is left judges alone.
   */
  isPrimarySuspected (now: Instant): boolean {
    return this.hasMissedProbes && now - this.fields.primarySeenAt >= this.fields.timings.quietMs
  }

  /**
   * Against a group that nobody would mend: both owners of the primary's slots
   * died with it, or a proposer died after its seals and before its promotion,
   * so that no probe is missed. It shows by the time without any primary.
   */
  isPrimaryMissing (now: Instant): boolean {
    return now - this.fields.primarySeenAt >= this.fields.timings.orphanMs
  }

  /**
   * Against a primary that is cut off from its replicas while the proxies
   * reach it: its probes are answered, yet no write of it can be confirmed. It
   * shows by replicas that stay behind it and copy nothing. Only fresh samples
   * of the primary and of a majority without it count: a monitor that was
   * frozen or gets no samples must not judge by what it knew.
   */
  isReplicationStalled (now: Instant, extraMs: number): boolean {
    return this.freshReplicas(now) !== undefined && now - this.fields.copyProgressAt >= this.fields.timings.stallMs + extraMs
  }

  /** Whether this process or another reached the endpoint within the quiet time. */
  isReached (endpoint: EndpointId, now: Instant): boolean {
    const known = this.group.sample(endpoint)
    return known !== undefined && known.reachable && now - known.at < this.fields.timings.quietMs
  }

  /** Takes in the answer of an endpoint to this process. */
  withSample (sample: Sample, now: Instant): FailureDetector {
    const next = this.with({ group: this.group.with(sample) }).withCopyProgress(now)
    return next.group.primary?.endpoint === sample.endpoint ? next.with({ misses: 0, primarySeenAt: now }) : next
  }

  private withCopyProgress (now: Instant): FailureDetector {
    const copiers = this.freshReplicas(now)
    if (copiers === undefined) return this.with({ copyProgressAt: now })
    const copied = Math.max(...copiers.map(one => one.received)) as Position
    const isWell = copied >= this.group.primary!.received || copied !== this.fields.copiedPosition
    return this.with({ copiedPosition: copied, copyProgressAt: isWell ? now : this.fields.copyProgressAt })
  }

  /** The replicas that follow the primary, when all of what is known of them and of it is fresh and they are a majority. */
  private freshReplicas (now: Instant): readonly Sample[] | undefined {
    const { primary, samples, majority } = this.group
    if (primary === undefined || !this.isReached(primary.endpoint, now)) return undefined
    const followers = samples.filter(one => one.role === 'replica' && one.term === primary.term && this.isReached(one.endpoint, now))
    return followers.length >= majority ? followers : undefined
  }

  /**
   * Takes in what another process knows. Frames of two senders overtake each
   * other, so that a sample may be older than what is known: one of a lower
   * term, or of the seal that went before a promotion, changes nothing.
   */
  withReport (sample: Sample, now: Instant): FailureDetector {
    const known = this.group.sample(sample.endpoint)
    if (known === undefined || sample.term < known.term) return this
    if (sample.term === known.term && sample.role === 'sealed' && known.role !== 'sealed') return this
    if (sample.reachable) return this.withSample(sample, now)
    return this.isReached(sample.endpoint, now) ? this : this.withUnreachable(known)
  }

  withMiss (endpoint: EndpointId, now: Instant): FailureDetector {
    const known = this.group.sample(endpoint)
    if (known === undefined) return this
    const isPrimary = known.role === 'primary' && known.term === this.group.term
    if (isPrimary) return this.with({ misses: this.fields.misses + 1 })
    return this.isReached(endpoint, now) ? this : this.withUnreachable(known)
  }

  /** The primary counts as unreachable until somebody reaches it. */
  get withPrimaryUnreachable (): FailureDetector {
    const { primary } = this.group
    return primary === undefined ? this : this.withUnreachable(primary)
  }

  private withUnreachable (known: Sample): FailureDetector {
    return this.with({ group: this.group.with(known.with({ reachable: false })) })
  }

  private with (change: Partial<Fields>): FailureDetector {
    return new FailureDetector({ ...this.fields, ...change })
  }
}
