/** Where one try of an operation goes. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { PoolHost } from '../placing/host.ts'
import type { Token } from '../../token.ts'

export interface Target {
  readonly endpoint: EndpointId
  /** The position that the endpoint's log must hold; undefined for the primary, which holds all. */
  readonly after: Token | undefined
  /** Whether the endpoint has to prove that it leads. */
  readonly mustLead: boolean
  /** The host that runs it there, when this one doesn't reach the endpoint. */
  readonly via?: PoolHost
}
