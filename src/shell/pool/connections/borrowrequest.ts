/** A request of an operation for a connection to an endpoint. */

import type { Result } from 'neverthrow'
import type { Instant } from '../../../core/id/instant.ts'
import type { TeamId } from '../../../core/id/team.ts'
import type { SessionState } from '../../../core/session/sessionstate.ts'
import type { EndpointLink } from './link.ts'

interface BorrowOptions {
  readonly rank: number
  /** The unit of fair sharing. */
  readonly caller: string
  /** The team whose connections serve it; undefined where connections serve anyone. */
  readonly team: TeamId | undefined
  /** Milliseconds until the operation's deadline. */
  readonly remainingMs: number
  /** Milliseconds within which it must start to meet its latency aim; negative once that has passed. */
  readonly aimMs?: number
  readonly isTransaction: boolean
  /** Session values; a connection with the same values is preferred. */
  readonly values: SessionState
  /** Aborted once the caller no longer waits; undefined where the request isn't cancelled then. */
  readonly gone?: AbortSignal | undefined
}

interface Refusal {
  readonly reason: 'busy' | 'unreachable'
  readonly retryAfterMs: number
}

export interface BorrowRequest {
  readonly id: number
  readonly wish: BorrowOptions
  readonly deadline: Instant
  readonly answer: (lent: Result<EndpointLink, Refusal>) => void
}
