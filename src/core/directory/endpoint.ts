/** One endpoint as the directory lists it. */

import type { DataCentreId } from '../id/datacentre.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { GroupId } from '../id/group.ts'

export interface Endpoint {
  readonly id: EndpointId
  readonly group: GroupId
  readonly address: { readonly ip: string, readonly port: number }
  readonly dataCentre: DataCentreId
  /** The endpoint is about to shut down and still serves for a while. */
  readonly isLeaving: boolean
  /** Whether it calls itself primary; a replaced primary that is cut off may still do so. */
  readonly isPrimary: boolean
  /**
   * When its process started, in milliseconds on its own clock. A different value under the same id is another
   * process, without the state of this one. Undefined if not reported.
   */
  readonly startedAtMs?: number | undefined
  /** Statements that it runs at a time; more wait in a queue of its own, in order of arrival. Undefined if not reported. */
  readonly places?: number | undefined
}
