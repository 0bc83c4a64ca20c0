/** How many connections to one endpoint an owner may open. */

import { usableConnections } from './usableconnections.ts'

/**
 * An equal share, and one at least: with more owners than connections the
 * endpoint's own limit refuses the rest.
 */
export function connectionsPerOwner (connections: number, owners: number): number {
  return Math.max(1, Math.floor(usableConnections(connections) / Math.max(1, owners)))
}
