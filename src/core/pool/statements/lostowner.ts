/** What a caller is told of its statements when the host that served its session is gone. */

import type { Fault } from '../../statement/fault.ts'
import type { Statement } from '../../statement/statement.ts'

/** `none` stands for a text that is no statement. */
type Kind = Statement['kind'] | 'none'

/**
 * Guard against callers whose connection is cut in the middle of a statement
 * since the host that serves their session by way of this one ended: a cut says nothing, so
 * even what can't have been kept isn't tried again. The other host's end closes its
 * connections to endpoints, and with them every transaction that wasn't committed, and only this host
 * could still have asked it to commit. So nothing is kept of a transaction
 * whose commit wasn't sent, nor of a read; whether a commit or a single write
 * was done can't be known.
 *
 * A promise covers all that the caller tried. So with one statement open that may be kept, such as a commit
 * sent right behind its write, nothing is promised for any of them.
 */
export function lostOwnerFaults (kinds: readonly Kind[], isInTransaction: boolean): readonly Fault[] {
  const isAnyKept = kinds.some((kind, i) => mayBeKept(kind, isInTransaction && i === 0))
  return kinds.map(() => isAnyKept ? 'unknown' : 'aborted')
}

/** What comes behind another open statement is taken to be outside of any transaction: whether one is open by then isn't known. */
function mayBeKept (kind: Kind, isInTransaction: boolean): boolean {
  return kind === 'commit' || (!isInTransaction && (kind === 'write' || kind === 'execute'))
}
