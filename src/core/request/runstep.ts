/** One statement that a slot owner sends for a request. */

/**
 * - `statement`: the caller's own.
 * - `begin`, `commit`, `rollback`: of the transaction that holds a key and its effect together.
 * - `claim`: inserts the key into the ledger; a duplicate means that a try before this one was committed.
 * - `record`: writes the statement's counts into the key's row.
 * - `create`: makes the ledger, the first time.
 * - `lookup`: reads the key's row.
 * - `touch`: writes to the key's row, so that its confirmation covers the first try as well.
 * - `void`: claims the key for good without a statement, so that no later try can run.
 */
export type RunStep = 'statement' | 'begin' | 'claim' | 'record' | 'commit' | 'rollback' | 'create' | 'lookup' | 'touch' | 'void'
