/** Connections to one endpoint that the assigned owners of a group share. */

/** Half of all: the other half covers as many connections of dead hosts, which endpoints still count for a few seconds. */
export function connectionBudget (connections: number): number {
  return Math.max(1, Math.floor(connections / 2))
}
