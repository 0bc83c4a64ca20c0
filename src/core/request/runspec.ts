/** What a slot owner is asked to run. */

export interface RunSpec {
  /** `settle` asks for the outcome of an earlier request by its key, and runs no statement. */
  readonly access: 'read' | 'strict' | 'write' | 'begin' | 'inside' | 'commit' | 'rollback' | 'settle'
  /** Carries an idempotency key: `write` runs under it as one transaction, `begin` claims it for the transaction. */
  readonly hasIdempotencyKey: boolean
  /** Commits by itself (a stored procedure may), so that a lost connection proves no rollback. */
  readonly mayCommitImplicitly: boolean
}
