/** The typed ways in which a statement isn't done, as an endpoint says them and as a caller is told them. */

/**
 * Nothing of the caller's attempt is kept after `busy`, `aborted`, `behind`,
 * `notPrimary`, `wrongEndpoint`, `tooManyConnections`, `outOfTouch` and `overAllowance`.
 * - `failed`: it ran, and failed.
 * - `timeout`: its time is used up.
 * - `unknown`: it may have run, and it may be kept.
 * - `unauthorised`: nobody holds the caller's key.
 * - `outOfTouch`: this host can't know whether the caller's key still holds.
 * - `overAllowance`: the caller's team has used what it may for now.
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
