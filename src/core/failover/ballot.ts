/** The votes for one term: which endpoints were sealed in it for this monitor, and which refused. */

import type { Sample } from '../group/sample.ts'
import type { EndpointId } from '../id/endpoint.ts'

/** Immutable; a vote returns the next value. */
export class Ballot {
  private constructor (
    private readonly sealed: readonly Sample[],
    private readonly refused: readonly EndpointId[]
  ) {}

  static readonly empty = new Ballot([], [])

  withSeal (sample: Sample): Ballot {
    return new Ballot([...this.sealed.filter(old => old.endpoint !== sample.endpoint), sample], this.refused)
  }

  withRefusal (endpoint: EndpointId): Ballot {
    return new Ballot(this.sealed, [...this.refused.filter(old => old !== endpoint), endpoint])
  }

  isWon (majority: number): boolean {
    return this.sealed.length >= majority
  }

  /** Whether so many endpoints refused that a majority is out of reach. */
  isLost (endpoints: number, majority: number): boolean {
    return endpoints - this.refused.length < majority
  }

  /**
   * The sealed endpoint with the newest log. Among equal logs one that isn't
   * `leaving` is preferred; a shorter log is never chosen.
   */
  candidate (leaving?: EndpointId): Sample | undefined {
    return this.sealed.reduce<Sample | undefined>((best, sample) => {
      if (best === undefined || sample.isAheadOf(best)) return sample
      const isEqual = !best.isAheadOf(sample)
      return isEqual && best.endpoint === leaving ? sample : best
    }, undefined)
  }
}
