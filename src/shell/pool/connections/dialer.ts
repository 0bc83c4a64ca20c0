/** Opens connections to endpoints. */

import type { Result } from 'neverthrow'
import type { Endpoint } from '../../../core/directory/endpoint.ts'
import type { TeamId } from '../../../core/id/team.ts'
import type { KeyDigest } from '../../../core/pool/access/keydigest.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'
import type { DialFault } from './dialfault.ts'
import type { EndpointLink } from './link.ts'

export interface Dialer {
  /**
   * Resolves always, within the time. Proves that the endpoint is the one named: addresses are used again. `team`: whom the endpoint is told that the
   * connection serves; undefined for this process's own.
   */
  dial (endpoint: Endpoint, team: TeamId | undefined, timeoutMs: number): Promise<Result<EndpointLink, DialFault>>
  /** The same to a host that runs statements of the database at an endpoint which it reaches. `version`: the configuration that this host has in force; `key`: the caller's. */
  dialHost (host: PoolHost, database: string, version: number, key: KeyDigest | undefined, timeoutMs: number): Promise<Result<EndpointLink, DialFault>>
}
