/** An operation, which may be tried at several endpoints. */

import type { Instant } from '../../../core/id/instant.ts'
import type { Ending } from '../../../core/pool/statements/ending.ts'
import type { KeyDigest } from '../../../core/pool/access/keydigest.ts'
import type { Route } from '../../../core/pool/route.ts'
import type { Target } from '../../../core/pool/statements/target.ts'
import type { TryHistory } from '../../../core/pool/statements/tryhistory.ts'
import type { EndpointStatement } from '../../../core/pool/statements/endpointstatement.ts'
import type { SessionState } from '../../../core/session/sessionstate.ts'
import type { Answer } from '../../../core/statement/answer.ts'
import type { Token } from '../../../core/token.ts'
import type { Attempt } from '../connections/attempt.ts'

export interface Operation {
  readonly route: Route
  readonly database: string
  readonly what: EndpointStatement['what']
  readonly deadline: Instant
  /** Whether only the primary may run it. */
  readonly mustLead: boolean
  /** Whether another host may run it. */
  readonly mayForward: boolean
  /** Whether it's the first statement of a caller's transaction. */
  readonly isInTransaction: boolean
  /** Position of the session's newest commit, and the session values. */
  readonly newestCommit: Token
  readonly values: SessionState
  /** The caller's key; undefined without one. */
  readonly key: KeyDigest | undefined
  /** Aborted once the caller has left. */
  readonly gone: AbortSignal
  /** Collects the tries. */
  readonly trail: TryHistory
  readonly run: (attempt: Attempt, target: Target) => Promise<Answer | Ending>
}
