/** How many connections to one endpoint a host may open. */

/** Connections of an endpoint that nobody is dealt: for hosts that just died, whose connections the endpoint still counts for seconds. */
const RESERVE = 2

/**
 * An equal share, and one at least: with more hosts than connections the
 * endpoint's own limit refuses the rest.
 */
export function shareOf (connections: number, hosts: number): number {
  const dealt = Math.max(1, connections - RESERVE)
  return Math.max(1, Math.floor(dealt / Math.max(1, hosts)))
}
