/** Reasons for which a connection to an endpoint wasn't opened. */

/**
 * `wrongEndpoint`: another endpoint answers at the address. `turnedAway`: the connection was accepted and then closed without
 * an answer, for example by an endpoint with too many connections whose refusal was lost in the reset.
 */
export type DialFault = 'unreachable' | 'wrongEndpoint' | 'tooManyConnections' | 'turnedAway'
