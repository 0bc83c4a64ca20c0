/** Faults for a caller's open statements when the host that served its session is gone. */

import type { Fault } from '../../statement/fault.ts'
import type { Statement } from '../../statement/statement.ts'

/** `none`: a text that isn't a statement. */
type Kind = Statement['kind'] | 'none'

/**
 * This host forwarded the session to the host that is gone, and answers in its place instead of cutting the caller's connection, so that the
 * caller knows which statements it can repeat. The end of the other host closes its connections to endpoints, which rolls back every
 * transaction whose commit this host hadn't forwarded: transactions and reads are `aborted`. A commit or a write outside a transaction
 * may have been done: `unknown`.
 *
 * With one open statement that may have been done, such as a commit sent right after its write, all are `unknown`: a caller takes `aborted`
 * as a promise for everything it sent.
 */
export function lostOwnerFaults (kinds: readonly Kind[], isInTransaction: boolean): readonly Fault[] {
  const isAnyKept = kinds.some((kind, i) => mayBeKept(kind, isInTransaction && i === 0))
  return kinds.map(() => isAnyKept ? 'unknown' : 'aborted')
}

/** A statement sent after another open one counts as outside a transaction, since it isn't known whether one is open by then. */
function mayBeKept (kind: Kind, isInTransaction: boolean): boolean {
  return kind === 'commit' || (!isInTransaction && (kind === 'write' || kind === 'execute'))
}
