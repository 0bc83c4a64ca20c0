/** Connections to one endpoint that each owner may open where every host is an owner. */

import { usableConnections } from './usableconnections.ts'

/** An equal share, and at least one: with more owners than connections the endpoint's own limit refuses the rest. */
export function connectionsPerOwner (connections: number, owners: number): number {
  return Math.max(1, Math.floor(usableConnections(connections) / Math.max(1, owners)))
}
