/** The interface through which request handling records what it does, for later explanation. */

import type { Done } from '../../gen/peer_pb.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { Hints } from '../../core/routing/hints.ts'
import type { Identity } from '../caller/identity.ts'
import type { Target } from '../caller/target.ts'

/** A request as its caller sent it. */
interface AuditedRequest {
  readonly sql: string
  readonly kind: string
  readonly identity: Identity
  readonly hints: Hints
  /** The idempotency key of the request; empty for none. */
  readonly once: string
  readonly deadline: Instant
}

/** The open record of one request. */
interface Trail {
  /** Adds an attempt that began at `began` and ends now. */
  addAttempt (target: Target, done: Done, began: Instant): void
  /** Completes the record and returns the caller's answer: an error message with the record's id added. */
  end (done: Done): Done
}

/** Records requests. `begin` and the methods of its trail never block or throw, so that a request does not depend on its record. */
export interface Audit {
  begin (request: AuditedRequest): Trail
  /** Writes the buffered records and ends the process's chain of batches; resolves within `ms`, even if the store is down. */
  flush (ms: number): Promise<void>
}
