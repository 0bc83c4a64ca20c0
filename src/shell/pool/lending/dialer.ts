/** Opens connections to endpoints. */

import type { Result } from 'neverthrow'
import type { Endpoint } from '../../../core/directory/endpoint.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import type { DialFault } from './dialfault.ts'
import type { EndpointLink } from './link.ts'

export interface Dialer {
  /** Resolves always, within the time. Proves that the endpoint is the one named: addresses are used again. */
  dial (endpoint: Endpoint, timeoutMs: number): Promise<Result<EndpointLink, DialFault>>
  /** The same to a host that runs statements of the database at an endpoint which it reaches. `version`: the configuration that this host has in force. */
  dialHost (host: PoolHost, database: string, version: number, timeoutMs: number): Promise<Result<EndpointLink, DialFault>>
}
