/** An operation that waits for a connection to an endpoint. */

import type { Result } from 'neverthrow'
import type { Instant } from '../../../core/id/instant.ts'
import type { TeamId } from '../../../core/id/team.ts'
import type { SessionState } from '../../../core/session/sessionstate.ts'
import type { EndpointLink } from './link.ts'

interface Wish {
  readonly rank: number
  /** Who shares fairly with others. */
  readonly caller: string
  /** Whose connections serve it; undefined where they serve anybody. */
  readonly team: TeamId | undefined
  /** Milliseconds in which the operation is to be done. */
  readonly leftMs: number
  /** Milliseconds within which it's best started; none are left once they are negative. */
  readonly aimMs?: number
  readonly isTransaction: boolean
  /** A connection in the same state is preferred. */
  readonly values: SessionState
  /** Aborted once nobody waits for it any more; undefined where it's lent all the same. */
  readonly gone?: AbortSignal | undefined
}

interface Refusal {
  readonly reason: 'busy' | 'unreachable'
  readonly retryAfterMs: number
}

export interface BorrowRequest {
  readonly id: number
  readonly wish: Wish
  readonly deadline: Instant
  readonly answer: (lent: Result<EndpointLink, Refusal>) => void
}
