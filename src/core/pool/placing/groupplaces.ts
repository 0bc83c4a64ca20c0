/** How many statements the endpoints of a group work on at a time, as far as they report it. */

import type { Endpoint } from '../../directory/endpoint.ts'

/**
 * Immutable. Keeps the maximum seen since the process started, so that owners don't change, and connections aren't reopened, each time an endpoint
 * crashes, flaps or is replaced. Hosts that started at different times may have different values; this is as harmless as different lists of hosts.
 */
export class GroupPlaces {
  private constructor (
    /** Of one endpoint; 0 while none has reported its places. */
    readonly perEndpoint: number,
    /** Of all endpoints that aren't leaving. */
    readonly total: number
  ) {}

  static readonly none = new GroupPlaces(0, 0)

  /** Returns the same object if nothing changed. */
  with (endpoints: readonly Endpoint[]): GroupPlaces {
    const reported = endpoints.filter(({ isLeaving }) => !isLeaving).map(({ places = 0 }) => places)
    const perEndpoint = Math.max(this.perEndpoint, ...reported)
    const total = Math.max(this.total, reported.reduce((sum, places) => sum + places, 0))
    return perEndpoint === this.perEndpoint && total === this.total ? this : new GroupPlaces(perEndpoint, total)
  }
}
