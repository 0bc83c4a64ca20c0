/** Why no connection to an endpoint was opened. */

/**
 * `wrongEndpoint`: another endpoint answers at the address. `turnedAway`: the
 * connection was taken and then ended without a word, as by an endpoint that has
 * too many and whose refusal was lost with the reset.
 */
export type DialFault = 'unreachable' | 'wrongEndpoint' | 'tooManyConnections' | 'turnedAway'
