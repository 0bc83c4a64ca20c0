/** The endpoint that one try of an operation is sent to. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { PoolHost } from '../placing/host.ts'
import type { Token } from '../../token.ts'

export interface Target {
  readonly endpoint: EndpointId
  /** The position that the endpoint's log must include; undefined for the primary, whose log is complete. */
  readonly after: Token | undefined
  /** Whether the endpoint must prove that it leads. */
  readonly mustLead: boolean
  /** The host that runs the statement there, when this one doesn't reach the endpoint. */
  readonly via?: PoolHost
}
