/** The message that a caller gets with a fault: what happened and what to do. */

import type { Fault } from '../../statement/fault.ts'

const REMEDIES: Readonly<Record<Fault, string>> = {
  busy: 'not run; the database has no room',
  aborted: 'the transaction is rolled back and nothing of it is kept; run it again',
  behind: 'not run; no database that was reached holds the needed commits yet',
  notPrimary: 'not run; the primary was replaced',
  wrongEndpoint: 'not run; the database moved',
  tooManyConnections: 'not run; the database takes no more connections',
  failed: 'the database ran the statement and it failed',
  timeout: 'the time of the statement is used up',
  unknown: 'the statement may have run; look before running it again',
  unknownStatement: 'no statement is prepared under this name; prepare it',
  unknownDatabase: 'no such database; check its name',
  malformed: 'the statement is not valid here; end the transaction or correct it',
  tooLarge: 'the message is too large; send at most 1 MiB',
  unauthorised: 'not allowed: no team holds this key; ask for a new one',
  outOfTouch: 'not run; this host has lost touch with the store and can\'t check the key',
  overAllowance: 'not run; the team has used its allowance'
}

/** Faults after which the same operation may be sent again; their messages give a retry-after time. */
const RETRYABLE: ReadonlySet<Fault> = new Set<Fault>(['busy', 'aborted', 'behind', 'notPrimary', 'wrongEndpoint', 'tooManyConnections', 'outOfTouch', 'overAllowance'])

/** `retryAfterMs`: after how many milliseconds the caller may try again. */
export function remedyOf (fault: Fault, retryAfterMs: number): string {
  const text = REMEDIES[fault]
  return RETRYABLE.has(fault) ? `${text}; come back in ${Math.ceil(retryAfterMs)} ms` : text
}
