/** Reasons for which a connection to an endpoint wasn't opened. */

/**
 * `unreachable`: the connection was refused. `outOfTime`: nothing was heard within the time limit. `wrongEndpoint`: another endpoint answers at the address. `turnedAway`: the connection was accepted and then closed without
 * an answer, for example by an endpoint with too many connections whose refusal was lost in the reset.
 */
export type DialFault = 'unreachable' | 'outOfTime' | 'wrongEndpoint' | 'tooManyConnections' | 'turnedAway'
