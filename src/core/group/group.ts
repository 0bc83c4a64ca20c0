/** A database group as one process knows it: the newest sample of each endpoint. */

import type { EndpointId } from '../id/endpoint.ts'
import type { GroupId } from '../id/group.ts'
import type { Position } from '../id/position.ts'
import type { Term } from '../id/term.ts'
import { TermHistory } from '../termhistory.ts'
import { Sample } from './sample.ts'

/** What follows from the samples together. */
interface Summary {
  readonly isSampled: boolean
  readonly primary: Sample | undefined
  readonly history: TermHistory
  readonly minApplied: Position
  readonly alignedReplicas: readonly Sample[]
}

/**
 * The samples of one group. Immutable; `with` replaces a `Sample` and returns the
 * next value. The summary is computed on first use and kept, since every request
 * reads it and samples change far less often.
 */
export class Group {
  private cachedSummary: Summary | undefined

  private constructor (readonly id: GroupId, readonly samples: readonly Sample[]) {}

  static of (id: GroupId, endpoints: readonly EndpointId[]): Group {
    return new Group(id, endpoints.map(endpoint => Sample.unknown(endpoint)))
  }

  /** The highest term that any endpoint has accepted. */
  get term (): Term {
    return Math.max(0, ...this.samples.map(sample => sample.term)) as Term
  }

  /**
   * Whether there are enough samples to tell a group without a primary from one
   * whose primary hasn't answered yet: one of a primary, or those of all endpoints.
   */
  get isSampled (): boolean {
    return this.summary.isSampled
  }

  /** The number of endpoints that are a majority of the group. */
  get majority (): number {
    return Math.floor(this.samples.length / 2) + 1
  }

  /**
   * The endpoint that calls itself primary in the highest term. A primary of a
   * lower term was replaced and is never returned, even while it has no
   * successor, because its writes could not be acknowledged.
   */
  get primary (): Sample | undefined {
    return this.summary.primary
  }

  /** The endpoint that was last known to be primary in the highest term that had one, reachable or not. */
  get leader (): Sample | undefined {
    return this.samples
      .filter(sample => sample.role === 'primary')
      .reduce<Sample | undefined>((best, sample) => best === undefined || sample.term > best.term ? sample : best, undefined)
  }

  /** The known history with the newest term. */
  get history (): TermHistory {
    return this.summary.history
  }

  /** The position that every reachable replica has applied; 0 without replicas. */
  get minApplied (): Position {
    return this.summary.minApplied
  }

  /**
   * Replicas that are aligned with the newest term. A replaced primary that was
   * ordered to follow and hasn't cut its log at the fork yet calls itself a
   * replica, but still shows writes that were never acknowledged and will be
   * dropped. It adopts the history of its new term in the step that cuts its log,
   * so until then its history ends before the term that it has accepted.
   */
  get alignedReplicas (): readonly Sample[] {
    return this.summary.alignedReplicas
  }

  sample (endpoint: EndpointId): Sample | undefined {
    return this.samples.find(sample => sample.endpoint === endpoint)
  }

  with (sample: Sample): Group {
    const samples = this.samples.map(old => old.endpoint === sample.endpoint ? sample : old)
    return new Group(this.id, samples)
  }

  private get summary (): Summary {
    this.cachedSummary ??= summaryOf(this.samples, this.term)
    return this.cachedSummary
  }
}

function summaryOf (samples: readonly Sample[], term: Term): Summary {
  const replicas = samples.filter(sample => sample.role === 'replica' && sample.reachable)
  const history = samples.reduce(
    (best, sample) => sample.history.term > best.term ? sample.history : best,
    TermHistory.empty)
  return {
    isSampled: samples.some(sample => sample.role === 'primary') || samples.every(sample => sample.term > 0),
    primary: samples.find(sample => sample.role === 'primary' && sample.term === term && sample.reachable),
    history,
    minApplied: (replicas.length === 0 ? 0 : Math.min(...replicas.map(sample => sample.applied))) as Position,
    alignedReplicas: replicas.filter(sample => sample.history.term >= Math.max(history.term, sample.term))
  }
}
