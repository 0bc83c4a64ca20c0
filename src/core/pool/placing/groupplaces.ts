/** How many statements the endpoints of a group work on at a time, as far as they told. */

import type { Endpoint } from '../../directory/endpoint.ts'

/**
 * Immutable. The most that was seen counts, for as long as the process runs.
 *
 * Guard against owners that change, and connections that are closed and opened anew, each time an endpoint crashes, flaps or is replaced. Hosts that started at different times may
 * have seen different numbers, which is as harmless as different lists of hosts.
 */
export class GroupPlaces {
  private constructor (
    /** Of one endpoint; 0 while none told. */
    readonly perEndpoint: number,
    /** Of all that don't leave. */
    readonly total: number
  ) {}

  static readonly none = new GroupPlaces(0, 0)

  /** The same value when nothing more is seen. */
  with (endpoints: readonly Endpoint[]): GroupPlaces {
    const told = endpoints.filter(({ isLeaving }) => !isLeaving).map(({ places = 0 }) => places)
    const each = Math.max(this.perEndpoint, ...told)
    const all = Math.max(this.total, told.reduce((sum, places) => sum + places, 0))
    return each === this.perEndpoint && all === this.total ? this : new GroupPlaces(each, all)
  }
}
