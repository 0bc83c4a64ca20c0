/** Connections of an endpoint that are dealt to hosts. */

/** Connections of an endpoint that nobody is dealt: for hosts that just died, whose connections the endpoint still counts for seconds. */
const RESERVED_CONNECTIONS = 2

export function usableConnections (connections: number): number {
  return Math.max(1, connections - RESERVED_CONNECTIONS)
}
