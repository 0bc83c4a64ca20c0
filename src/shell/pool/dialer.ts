/** Opens connections to endpoints. */

import type { Result } from 'neverthrow'
import type { Endpoint } from '../../core/directory/endpoint.ts'
import type { DialFault } from './dialfault.ts'
import type { EndpointLink } from './link.ts'

export interface Dialer {
  /** Resolves always, within the time. Proves that the endpoint is the one named: addresses are used again. */
  dial (endpoint: Endpoint, timeoutMs: number): Promise<Result<EndpointLink, DialFault>>
}
