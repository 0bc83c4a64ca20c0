/** Who answered the questions that go before a round of seals. */

import type { EndpointId } from '../id/endpoint.ts'

/** The endpoints that have answered and those that have not. Immutable. */
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

  /** Whether so many endpoints answered. */
  hasAnswers (majority: number): boolean {
    return this.answered.length >= majority
  }

  /** Whether every one of so many endpoints has answered or missed. */
  isWhole (endpoints: number): boolean {
    return this.answered.length + this.missed.length >= endpoints
  }
}

function without (some: readonly EndpointId[], endpoint: EndpointId): readonly EndpointId[] {
  return some.filter(other => other !== endpoint)
}
