/** What a slot owner is to run. */

export interface RunSpec {
  /** `settle` asks for the outcome of an earlier request by its idempotency key, and runs no statement. */
  readonly access: 'read' | 'strict' | 'write' | 'begin' | 'inside' | 'commit' | 'rollback' | 'settle'
  /** Carries an idempotency key: `write` runs under it in one transaction, `begin` claims it for the transaction. */
  readonly hasIdempotencyKey: boolean
  /** May commit implicitly, as a stored procedure may, so that a lost connection doesn't prove a rollback. */
  readonly mayCommitImplicitly: boolean
}
