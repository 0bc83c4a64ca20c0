/** A database group as one process knows it: the newest sample of each endpoint. */

import type { EndpointId } from '../id/endpoint.ts'
import type { GroupId } from '../id/group.ts'
import type { Position } from '../id/position.ts'
import type { Term } from '../id/term.ts'
import { History } from '../history.ts'
import { Sample } from './sample.ts'

/** The samples of one group. Immutable; `with` takes a `Sample` in and yields the next value. */
export class Group {
  private constructor (readonly id: GroupId, readonly samples: readonly Sample[]) {}

  static of (id: GroupId, endpoints: readonly EndpointId[]): Group {
    return new Group(id, endpoints.map(endpoint => Sample.unknown(endpoint)))
  }

  /** The highest term that any endpoint has accepted. */
  get term (): Term {
    return Math.max(0, ...this.samples.map(sample => sample.term)) as Term
  }

  /**
   * Whether enough samples arrived to tell a group without a primary from one whose
   * primary's first sample is still on its way: a primary, or all endpoints.
   */
  get isSampled (): boolean {
    return this.samples.some(sample => sample.role === 'primary') || this.samples.every(sample => sample.term > 0)
  }

  /** How many endpoints are more than half of the group. */
  get majority (): number {
    return Math.floor(this.samples.length / 2) + 1
  }

  /**
   * The endpoint that says it is primary in the highest term. A primary of a
   * lower term was replaced; it is never the answer, even while nobody has
   * taken its place, because its writes could not be acknowledged.
   */
  get primary (): Sample | undefined {
    const term = this.term
    return this.samples.find(sample => sample.role === 'primary' && sample.term === term && sample.reachable)
  }

  /** The endpoint that was last known to be primary in the highest term that had one, reachable or not. */
  get leader (): Sample | undefined {
    return this.samples
      .filter(sample => sample.role === 'primary')
      .reduce<Sample | undefined>((best, sample) => best === undefined || sample.term > best.term ? sample : best, undefined)
  }

  /** The longest known list of term starts. */
  get history (): History {
    return this.samples.reduce(
      (best, sample) => sample.history.term > best.term ? sample.history : best,
      History.empty)
  }

  /** What every reachable replica has applied at the least; 0 without replicas. */
  get leastApplied (): Position {
    const replicas = this.samples.filter(sample => sample.role === 'replica' && sample.reachable)
    return (replicas.length === 0 ? 0 : Math.min(...replicas.map(sample => sample.applied))) as Position
  }

  sample (endpoint: EndpointId): Sample | undefined {
    return this.samples.find(sample => sample.endpoint === endpoint)
  }

  with (sample: Sample): Group {
    const samples = this.samples.map(old => old.endpoint === sample.endpoint ? sample : old)
    return new Group(this.id, samples)
  }
}
