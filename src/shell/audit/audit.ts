/** Where the path of a request reports what it does, so that it can be explained afterwards. */

import type { Done } from '../../gen/peer_pb.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { Hints } from '../../core/routing/hints.ts'
import type { Identity } from '../caller/identity.ts'
import type { Target } from '../caller/target.ts'

interface AuditedRequest {
  readonly sql: string
  readonly kind: string
  readonly identity: Identity
  readonly hints: Hints
  /** The idempotency key that holds for the request; empty for none. */
  readonly once: string
  readonly deadline: Instant
}

interface Trail {
  /** Takes in an attempt that began at the instant and has ended now. */
  addAttempt (target: Target, done: Done, began: Instant): void
  /** Takes in the outcome. Yields what the caller is told: the text of an error names the record's id. */
  end (done: Done): Done
}

/** Records requests. Nothing here waits or fails, so that no request depends on it. */
export interface Audit {
  begin (asked: AuditedRequest): Trail
  /** Writes what is in memory and ends the process's chain; resolves within `ms`, also when the store is down. */
  flush (ms: number): Promise<void>
}
