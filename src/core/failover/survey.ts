/** Which endpoints answered the survey that precedes a round of seals. */

import type { EndpointId } from '../id/endpoint.ts'

/** The endpoints that answered and those that missed their probe. Immutable. */
export class Survey {
  private constructor (
    private readonly answered: readonly EndpointId[],
    private readonly missed: readonly EndpointId[]
  ) {}

  static readonly empty = new Survey([], [])

  withAnswer (endpoint: EndpointId): Survey {
    return new Survey([...without(this.answered, endpoint), endpoint], without(this.missed, endpoint))
  }

  withMiss (endpoint: EndpointId): Survey {
    return new Survey(without(this.answered, endpoint), [...without(this.missed, endpoint), endpoint])
  }

  /** Whether at least `majority` endpoints answered. */
  hasAnswers (majority: number): boolean {
    return this.answered.length >= majority
  }

  /** Whether each of so many endpoints has answered or missed its probe. */
  isWhole (endpoints: number): boolean {
    return this.answered.length + this.missed.length >= endpoints
  }
}

function without (endpoints: readonly EndpointId[], endpoint: EndpointId): readonly EndpointId[] {
  return endpoints.filter(other => other !== endpoint)
}
