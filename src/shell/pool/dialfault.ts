/** Why no connection to an endpoint was opened. */

/** `wrongEndpoint`: another endpoint answers at the address. */
export type DialFault = 'unreachable' | 'wrongEndpoint' | 'tooManyConnections'
