/** One endpoint as the directory lists it. */

import type { DataCentreId } from '../id/datacentre.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { GroupId } from '../id/group.ts'

export interface Endpoint {
  readonly id: EndpointId
  readonly group: GroupId
  readonly address: { readonly ip: string, readonly port: number }
  readonly dataCentre: DataCentreId
  /** It serves a little longer and then ends. */
  readonly isLeaving: boolean
  /** How it sees itself; a replaced primary that is cut off may still call itself primary. */
  readonly isPrimary: boolean
  /** When its process started, in milliseconds of its own time of day; another one under the same id holds and knows nothing of what this one did. Undefined where it isn't told. */
  readonly startedAtMs?: number | undefined
  /** Statements that it works on at a time; more wait in a queue of its own, in the order in which they come. Undefined where it isn't told. */
  readonly places?: number | undefined
}
