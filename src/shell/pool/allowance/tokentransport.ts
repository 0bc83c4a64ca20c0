/** How hosts ask each other for tokens. */

import type { TeamId } from '../../../core/id/team.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'

interface TokenRequest {
  readonly team: TeamId
  readonly place: number
  readonly count: number
}

interface TokenGrant {
  readonly count: number
  /** Milliseconds until there is another token. */
  readonly nextMs: number
}

export interface TokenTransport {
  /** Who answers what other hosts ask; with undefined nothing is sent. */
  onRequest (answerer: (team: TeamId, place: number, count: number) => TokenGrant | undefined): void
  /** Resolves with the answer, or with undefined when none came in time. */
  ask (host: PoolHost, asked: TokenRequest, timeoutMs: number): Promise<TokenGrant | undefined>
}
