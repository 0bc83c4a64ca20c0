/** What a caller is told of its statements when the host that served its session is gone. */

import type { Fault } from '../../statement/fault.ts'
import type { Statement } from '../../statement/statement.ts'

/** `none` stands for a text that is no statement. */
type Kind = Statement['kind'] | 'none'

/**
 * Guard against callers whose connection is cut in the middle of a statement
 * since the host that serves their session by way of this one ended: a cut says nothing, so
 * even what can't have been kept isn't tried again. The host's end closes its
 * connections to endpoints, and with them every transaction that wasn't committed, and only this host
 * could still have asked it to commit. So nothing is kept of a transaction
 * whose commit wasn't sent, nor of a read; whether a commit or a single write
 * was done can't be known. A statement that was sent ahead of other answers is judged by itself alone, and so never promised too much.
 */
export function lostOwnerFaults (kinds: readonly Kind[], isInTransaction: boolean): readonly Fault[] {
  return kinds.map((kind, i) => {
    const mayBeKept = kind === 'commit' || ((kind === 'write' || kind === 'execute') && (!isInTransaction || i > 0))
    return mayBeKept ? 'unknown' : 'aborted'
  })
}
