/** The connections of an endpoint that owners have among them where a part of the hosts is picked. */

/** Half of them, so that the living fit beside as many dead, which endpoints count for some seconds more. */
export function connectionBudget (connections: number): number {
  return Math.max(1, Math.floor(connections / 2))
}
