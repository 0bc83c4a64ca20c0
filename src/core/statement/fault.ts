/** The typed errors of a statement, as endpoints report them and callers receive them. */

/**
 * Nothing of the caller's attempt is kept after `busy`, `aborted`, `behind`, `notPrimary`, `wrongEndpoint`, `tooManyConnections`,
 * `outOfTouch` and `overAllowance`.
 * - `failed`: it ran and failed.
 * - `timeout`: its time is used up.
 * - `unknown`: it may have run, and its effect may be kept.
 * - `unauthorised`: the key belongs to no caller.
 * - `outOfTouch`: this host can't know whether the caller's key is still valid.
 * - `overAllowance`: the caller's team has used up its allowance for now.
 */
export type Fault =
  | 'busy'
  | 'aborted'
  | 'behind'
  | 'notPrimary'
  | 'wrongEndpoint'
  | 'tooManyConnections'
  | 'failed'
  | 'timeout'
  | 'unknown'
  | 'unknownStatement'
  | 'unknownDatabase'
  | 'malformed'
  | 'tooLarge'
  | 'unauthorised'
  | 'outOfTouch'
  | 'overAllowance'
