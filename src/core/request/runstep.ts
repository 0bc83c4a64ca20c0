/** A statement that a slot owner sends for a request. */

/**
 * - `statement`: the caller's own.
 * - `begin`, `commit`, `rollback`: of the transaction that holds an idempotency key and its effect together.
 * - `claim`: inserts the key into the ledger; a duplicate means that an earlier try was committed.
 * - `record`: writes the statement's counts into the key's row.
 * - `create`: creates the ledger table if it's missing.
 * - `lookup`: reads the key's row.
 * - `touch`: writes to the key's row, so that its confirmation also covers the first try.
 * - `void`: claims the key without a statement, so that no later try can run.
 */
export type RunStep = 'statement' | 'begin' | 'claim' | 'record' | 'commit' | 'rollback' | 'create' | 'lookup' | 'touch' | 'void'
