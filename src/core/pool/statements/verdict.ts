/** What becomes of a statement that an endpoint didn't do: it's tried elsewhere, or its caller gets a fault. */

import type { Fault } from '../../statement/fault.ts'
import type { Ending } from './ending.ts'

interface AttemptContext {
  readonly what: 'read' | 'write' | 'commit'
  /** Whether it ran inside of a caller's transaction. */
  readonly isInTransaction: boolean
  /** Whether it's the first statement that the endpoint got of the transaction. */
  readonly isFirst: boolean
  /** Whether the transaction has sent a write. */
  readonly hasWritten: boolean
}

type Verdict =
  /** Nothing ran, or what ran was a read alone, which changes nothing: another endpoint may be asked. */
  | { readonly kind: 'elsewhere' }
  | { readonly kind: 'refuse', readonly fault: Fault }

/** Faults by which an endpoint says that it hasn't run the statement. */
const NOT_RUN: ReadonlySet<Ending> = new Set<Ending>([
  'busy', 'behind', 'notPrimary', 'wrongEndpoint', 'tooManyConnections', 'unknownStatement'
])

/** Endings after which an endpoint holds nothing of a single read, so that another may be asked. */
const RETRYABLE_READ_ENDINGS: ReadonlySet<Ending> = new Set<Ending>(['broken', 'failed'])

/**
 * Guard against a write that runs twice, and against "not run" said of one
 * that did: a connection that breaks after a write was sent leaves open whether
 * it ran, so it's neither sent again nor called a failure. A transaction whose
 * connection breaks before its commit was sent is rolled back by the endpoint,
 * which is proof that nothing is kept; the same holds for a commit of a
 * transaction that wrote nothing.
 *
 * A single read that failed may have done so because of its endpoint alone, and ran without an effect: it's tried elsewhere. A
 * transaction's first statement that ran and failed isn't: its transaction would then have run on two connections, while
 * statements of one may only run on that of the first. A write that failed stays with its caller as well, also
 * where a rollback makes it harmless: most of them are wrong and not unlucky, and all go to the one primary, where a second one fails alike.
 */
export function verdictOf (ending: Ending, { what, isInTransaction: isInside, isFirst, hasWritten }: AttemptContext): Verdict {
  const isKeptNowhere = isInside && isFirst && what !== 'commit'
  if (isKeptNowhere && (NOT_RUN.has(ending) || ending === 'broken')) return { kind: 'elsewhere' }
  if (isInside) return refuse(transactionFault(ending, what === 'commit', hasWritten))
  if (NOT_RUN.has(ending) || (what === 'read' && RETRYABLE_READ_ENDINGS.has(ending))) return { kind: 'elsewhere' }
  if (ending === 'broken') return refuse('unknown')
  if (ending === 'outOfTime') return refuse(what === 'read' ? 'timeout' : 'unknown')
  return refuse(ending)
}

function transactionFault (ending: Ending, isCommit: boolean, hasWritten: boolean): Fault {
  const isOpen = ending === 'broken' || ending === 'outOfTime'
  if (isOpen) return isCommit && hasWritten ? 'unknown' : 'aborted'
  // A name that the connection lost is a fault of this process and none of the caller's.
  if (ending === 'unknownStatement') return 'aborted'
  return ending
}

function refuse (fault: Fault): Verdict {
  return { kind: 'refuse', fault }
}
