/** Connections of an endpoint that may be shared out to hosts. */

/** Kept free for hosts that have just died: the endpoint still counts their connections for a few seconds. */
const RESERVED_CONNECTIONS = 2

export function usableConnections (connections: number): number {
  return Math.max(1, connections - RESERVED_CONNECTIONS)
}
