/** How long the news of a new primary is to be waited for. */

/**
 * An operation waits for a new primary at most so long, and only just after the
 * old one refused: the successor's report is then under way. Later it's known
 * that nobody leads, unless a succession is under way.
 */
const MAX_WAIT_MS = 100

/** Milliseconds; `missingMs`: without any known primary, undefined while one is known. */
export function newPrimaryWaitMs (missingMs: number | undefined): number {
  return missingMs === undefined ? 0 : Math.max(0, MAX_WAIT_MS - missingMs)
}
