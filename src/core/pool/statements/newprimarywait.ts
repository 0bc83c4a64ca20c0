/** How long a statement waits for the report of a new primary. */

/** Just after the old primary refused, the successor's report arrives within this time; later ones come only with a failover. */
const MAX_WAIT_MS = 100

/** Milliseconds to wait. `leaderlessMs`: milliseconds without a known primary; undefined while one is known. */
export function newPrimaryWaitMs (leaderlessMs: number | undefined): number {
  return leaderlessMs === undefined ? 0 : Math.max(0, MAX_WAIT_MS - leaderlessMs)
}
