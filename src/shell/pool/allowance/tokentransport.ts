/** Transport of token requests between hosts. */

import type { TeamId } from '../../../core/id/team.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'

interface TokenRequest {
  readonly team: TeamId
  /** The issuer's place in the table of issuers. */
  readonly place: number
  readonly count: number
}

interface TokenGrant {
  /** The number of tokens; 0 if there is none. */
  readonly count: number
  /** Milliseconds until there is another token. */
  readonly nextMs: number
}

export interface TokenTransport {
  /** Sets the handler for requests of other hosts. No answer is sent if it returns undefined. */
  onRequest (handler: (team: TeamId, place: number, count: number) => TokenGrant | undefined): void
  /** Resolves with the answer, or with undefined if none came within `timeoutMs`; `onLate`: called when one comes later. */
  ask (host: PoolHost, request: TokenRequest, timeoutMs: number, onLate?: () => void): Promise<TokenGrant | undefined>
}
