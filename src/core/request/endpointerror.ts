/** Classifies an endpoint's errors by their effect on the statement and its transaction. */

const ER_DUP_ENTRY = 1062
const ER_SERVER_SHUTDOWN = 1053
const ER_NO_SUCH_TABLE = 1146
const ER_ERROR_DURING_COMMIT = 1180
const ER_LOCK_DEADLOCK = 1213
const ER_OPTION_PREVENTS_STATEMENT = 1290
const ER_QUERY_INTERRUPTED = 1317
const ER_RUN_HOOK_ERROR = 3100

/**
 * - `readOnly`: refused before it ran, because the server isn't primary.
 * - `duplicate`: a unique key already exists.
 * - `noTable`: a table doesn't exist.
 * - `rolledBack`: the server rolled back the whole transaction.
 * - `unclear`: the server stopped, possibly in the middle of a commit.
 * - `refused`: any other; the statement had no effect and its transaction goes on.
 */
type ErrorKind = 'readOnly' | 'duplicate' | 'noTable' | 'rolledBack' | 'unclear' | 'refused'

const KINDS: ReadonlyMap<number, ErrorKind> = new Map([
  [ER_DUP_ENTRY, 'duplicate'],
  [ER_NO_SUCH_TABLE, 'noTable'],
  [ER_LOCK_DEADLOCK, 'rolledBack'],
  [ER_SERVER_SHUTDOWN, 'unclear'],
  [ER_ERROR_DURING_COMMIT, 'unclear'],
  [ER_QUERY_INTERRUPTED, 'unclear'],
  [ER_RUN_HOOK_ERROR, 'unclear']
])

/** Returns the kind of an error. Error 1290 covers many server options; only the read-only ones mean that the server isn't primary. */
export function errorKind (code: number, message: string): ErrorKind {
  if (code === ER_OPTION_PREVENTS_STATEMENT) return /read[-_]only/i.test(message) ? 'readOnly' : 'refused'
  return KINDS.get(code) ?? 'refused'
}
