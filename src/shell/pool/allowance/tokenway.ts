/** How hosts ask each other for tokens. */

import type { TeamId } from '../../../core/id/team.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'

interface Asked {
  readonly team: TeamId
  readonly place: number
  readonly count: number
}

interface Issued {
  readonly count: number
  /** Milliseconds until there is another token. */
  readonly nextMs: number
}

export interface TokenWay {
  /** Who answers what other hosts ask; with undefined nothing is sent. */
  onAsked (answerer: (team: TeamId, place: number, count: number) => Issued | undefined): void
  /** Resolves with the answer, or with undefined when none came in time. */
  ask (host: PoolHost, asked: Asked, timeoutMs: number): Promise<Issued | undefined>
}
