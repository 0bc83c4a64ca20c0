/** The reasons for which a request isn't done. */

interface Reason {
  /** The MySQL error that a caller sees. */
  readonly code: number
  /** What happened, and the remedy. */
  readonly message: string
  /** Whether the reason itself proves that nothing ran; docs/PROOFS.md has the proofs. */
  readonly provesNotRun: boolean
}

/** All typed refusals of the proxy. A refusal by an endpoint keeps the endpoint's own code. */
export const reasons = {
  notSampled: { code: 1290, message: 'this proxy has not heard from the database yet; try another or come back', provesNotRun: true },
  noPrimary: { code: 1290, message: 'no primary at the moment; come back after the time given', provesNotRun: true },
  replaced: { code: 1290, message: 'the endpoint refused the write because it is no longer primary; try again', provesNotRun: true },
  busy: { code: 1203, message: 'no connection would become free before the deadline; come back after the time given', provesNotRun: true },
  unreachable: { code: 2003, message: 'the endpoint could not be reached; try again', provesNotRun: true },
  noSlotOwner: { code: 2003, message: 'the process that holds the slot could not be reached; try again', provesNotRun: true },
  notSent: { code: 2013, message: 'the request was given up before it was sent; try again', provesNotRun: true },
  lost: { code: 2013, message: 'the connection broke while the request ran; ask for its outcome by its id', provesNotRun: false },
  unconfirmed: { code: 3024, message: 'no second server confirmed the write in time; ask for its outcome by its id', provesNotRun: false },
  deadline: { code: 3024, message: 'the deadline passed while the request ran; ask for its outcome by its id', provesNotRun: false },
  rolledBack: { code: 1213, message: 'the connection broke before the commit was sent, so nothing was kept; try again', provesNotRun: true },
  lostTransaction: { code: 1213, message: 'the transaction is rolled back; run it again from its start', provesNotRun: true },
  endedTransaction: { code: 1399, message: 'the statement ended its transaction by itself, so earlier statements may be committed; look before running them again', provesNotRun: false },
  implicitCommit: { code: 1399, message: 'the statement would commit the open transaction; end the transaction first', provesNotRun: true },
  onceImplicit: { code: 1399, message: 'a statement that commits by itself can not run under an idempotency key; leave the key out', provesNotRun: true },
  onceInside: { code: 1399, message: 'a key inside of a transaction must be that of its BEGIN; put the key on BEGIN', provesNotRun: true },
  onceRows: { code: 1235, message: 'a statement under an idempotency key can not return rows; read them by a request of their own', provesNotRun: true },
  otherRequest: { code: 1022, message: 'the idempotency key belongs to another statement; use a new key', provesNotRun: true },
  alreadyDone: { code: 1586, message: 'a transaction with this idempotency key was committed before and its effect stands; do not run it again', provesNotRun: false },
  voided: { code: 1586, message: 'the idempotency key was settled as not run and never will run; use a new key', provesNotRun: true },
  lostWrite: { code: 1776, message: 'a write of this session was lost at a failover; its token is forgotten', provesNotRun: true },
  behind: { code: 1290, message: 'the endpoint does not hold the needed commits yet; try another', provesNotRun: true },
  overAllowance: { code: 1226, message: 'the team has used its allowance; come back after the time given', provesNotRun: true },
  outOfTouch: { code: 2013, message: 'this host has lost touch with the store and can not check the key; come back after the time given', provesNotRun: true },
  unproved: { code: 1290, message: 'no second server could prove that the primary is current; try again', provesNotRun: true }
} as const satisfies Record<string, Reason>
