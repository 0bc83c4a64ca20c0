/** Decides whether a statement that an endpoint didn't complete is tried elsewhere or ends with a fault for its caller. */

import type { Fault } from '../../statement/fault.ts'
import type { Ending } from './ending.ts'

interface AttemptContext {
  readonly what: 'read' | 'write' | 'commit'
  /** Whether it ran in a caller's transaction. */
  readonly isInTransaction: boolean
  /** Whether it's the first statement of the transaction that the endpoint got. */
  readonly isFirst: boolean
  /** Whether the transaction has sent a write. */
  readonly hasWritten: boolean
}

type Verdict =
  /** Nothing ran, or only a read without an effect, so another endpoint may be tried. */
  | { readonly kind: 'elsewhere' }
  | { readonly kind: 'refuse', readonly fault: Fault }

/** Faults that say that the endpoint hasn't run the statement. */
const NOT_RUN: ReadonlySet<Ending> = new Set<Ending>([
  'busy', 'behind', 'notPrimary', 'wrongEndpoint', 'tooManyConnections', 'unknownStatement'
])

/** Endings after which a read outside a transaction may be tried at another endpoint. */
const RETRYABLE_READ_ENDINGS: ReadonlySet<Ending> = new Set<Ending>(['broken', 'failed'])

/**
 * A write whose connection broke after it was sent may have run, so it is neither sent again nor reported as not run. A transaction whose
 * connection broke before its commit was sent is rolled back by the endpoint, so nothing of it is kept; the same holds for the commit of a
 * transaction that wrote nothing.
 *
 * A read outside a transaction that failed may have failed because of its endpoint, so it is tried elsewhere. The first statement of a
 * transaction that ran and failed isn't, since all statements of a transaction run on one connection. A failed write isn't either: there
 * is only one primary, and it would most likely fail again.
 */
export function verdictOf (ending: Ending, { what, isInTransaction, isFirst, hasWritten }: AttemptContext): Verdict {
  const hasNoEffect = isInTransaction && isFirst && what !== 'commit'
  if (hasNoEffect && (NOT_RUN.has(ending) || ending === 'broken')) return { kind: 'elsewhere' }
  if (isInTransaction) return refuse(transactionFault(ending, what === 'commit', hasWritten))
  if (NOT_RUN.has(ending) || (what === 'read' && RETRYABLE_READ_ENDINGS.has(ending))) return { kind: 'elsewhere' }
  if (ending === 'broken') return refuse('unknown')
  if (ending === 'outOfTime') return refuse(what === 'read' ? 'timeout' : 'unknown')
  return refuse(ending)
}

function transactionFault (ending: Ending, isCommit: boolean, hasWritten: boolean): Fault {
  const isUnanswered = ending === 'broken' || ending === 'outOfTime'
  if (isUnanswered) return isCommit && hasWritten ? 'unknown' : 'aborted'
  // The connection lost a prepared statement, which isn't the caller's fault.
  if (ending === 'unknownStatement') return 'aborted'
  return ending
}

function refuse (fault: Fault): Verdict {
  return { kind: 'refuse', fault }
}
