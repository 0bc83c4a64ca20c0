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
   * Resolves within the time limit and never rejects. Verifies the identity of the endpoint, since addresses are reused. `team`: the team
   * that the connection serves, as announced to the endpoint; undefined for this process's own connections.
   */
  dial (endpoint: Endpoint, team: TeamId | undefined, timeoutMs: number): Promise<Result<EndpointLink, DialFault>>
  /** Connects to a host that forwards statements of the database to an endpoint. `version`: this host's configuration version; `key`: the caller's key. */
  dialHost (host: PoolHost, database: string, version: number, key: KeyDigest | undefined, timeoutMs: number): Promise<Result<EndpointLink, DialFault>>
}
