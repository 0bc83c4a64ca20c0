/** The failure detector of a monitor: what it knows of the endpoints of its group, and whether the primary failed. */

import type { Group } from '../group/group.ts'
import type { Sample } from '../group/sample.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { Position } from '../id/position.ts'
import type { FailoverTimings } from './timings.ts'

interface Fields {
  readonly group: Group
  readonly timings: FailoverTimings
  /** Missed probes of the primary since any process last reached it. */
  readonly misses: number
  /** When any process last reached a primary of the highest term. */
  readonly primarySeenAt: Instant
  /** How much of the primary's log its best replica had, and when that last grew or was complete. */
  readonly copiedPosition: Position
  readonly copyProgressAt: Instant
}

/** Immutable; samples and misses return the next value. */
export class FailureDetector {
  private constructor (private readonly fields: Fields) {}

  static create (group: Group, timings: FailoverTimings, now: Instant): FailureDetector {
    return new FailureDetector({ group, timings, misses: 0, primarySeenAt: now, copiedPosition: 0 as Position, copyProgressAt: now })
  }

  get group (): Group {
    return this.fields.group
  }

  /** Whether enough consecutive probes missed the primary for it to count as failed. */
  get hasMissedProbes (): boolean {
    return this.fields.misses >= this.fields.timings.misses
  }

  /**
   * Whether the primary is suspected: probes of this process missed it, and no
   * process has reached it for `quietMs`. Misses alone aren't enough, since the
   * link of one slot owner may be cut while the other owner's samples still
   * arrive. When the other owner is gone too, no samples arrive and this one
   * decides alone.
   */
  isPrimarySuspected (now: Instant): boolean {
    return this.hasMissedProbes && now - this.fields.primarySeenAt >= this.fields.timings.quietMs
  }

  /**
   * Whether the group has shown no primary for `orphanMs`. This covers failures
   * in which no probe is missed: both owners of the primary's slots failed with
   * it, or a monitor failed after its seals and before its promotion.
   */
  isPrimaryMissing (now: Instant): boolean {
    return now - this.fields.primarySeenAt >= this.fields.timings.orphanMs
  }

  /**
   * Whether the primary is cut off from its replicas, so that none of its writes
   * can be confirmed though its probes are answered: its replicas stay behind
   * and copy nothing. Only recent samples of the primary and of a majority
   * without it count, so that a monitor that was paused or gets no samples
   * doesn't act on outdated ones.
   */
  isReplicationStalled (now: Instant, extraMs: number): boolean {
    return this.freshReplicas(now) !== undefined && now - this.fields.copyProgressAt >= this.fields.timings.stallMs + extraMs
  }

  /** Whether this process or another one reached the endpoint within `quietMs`. */
  isReached (endpoint: EndpointId, now: Instant): boolean {
    const known = this.group.sample(endpoint)
    return known !== undefined && known.reachable && now - known.at < this.fields.timings.quietMs
  }

  /** Applies the answer of an endpoint to this process. */
  withSample (sample: Sample, now: Instant): FailureDetector {
    const next = this.with({ group: this.group.with(sample) }).withCopyProgress(now)
    return next.group.primary?.endpoint === sample.endpoint ? next.with({ misses: 0, primarySeenAt: now }) : next
  }

  private withCopyProgress (now: Instant): FailureDetector {
    const replicas = this.freshReplicas(now)
    if (replicas === undefined) return this.with({ copyProgressAt: now })
    const copiedPosition = Math.max(...replicas.map(one => one.received)) as Position
    const isProgressing = copiedPosition >= this.group.primary!.received || copiedPosition !== this.fields.copiedPosition
    return this.with({ copiedPosition, copyProgressAt: isProgressing ? now : this.fields.copyProgressAt })
  }

  /** The replicas that follow the primary, if their samples and the primary's are recent and they are a majority. */
  private freshReplicas (now: Instant): readonly Sample[] | undefined {
    const { primary, samples, majority } = this.group
    if (primary === undefined || !this.isReached(primary.endpoint, now)) return undefined
    const followers = samples.filter(one => one.role === 'replica' && one.term === primary.term && this.isReached(one.endpoint, now))
    return followers.length >= majority ? followers : undefined
  }

  /**
   * Applies a sample that another process reported. Reports of two senders may
   * overtake each other, so a sample of a lower term, or of the seal before a
   * known promotion, is ignored.
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

  /** Counts the primary as unreachable until some process reaches it. */
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
