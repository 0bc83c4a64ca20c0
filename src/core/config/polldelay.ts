/**
 * How often a host polls the store for the newest version. A few hosts poll on behalf of all; the others poll rarely, in case they miss a
 * notification.
 *
 * Hosts that aren't pollers back off at random, so that a store that recovers from an outage isn't overloaded by all hosts.
 */

const POLLER_MS = 500
const MAX_POLLER_MS = 2000
const OTHER_MS = 30_000
const MAX_WITHOUT_CONFIG_MS = 8000

interface Situation {
  readonly isPoller: boolean
  readonly hasConfig: boolean
  /** Consecutive polls that failed or returned nothing. */
  readonly misses: number
}

/** Milliseconds until the next poll; `chance` is a random number in [0, 1). */
export function pollDelayMs ({ isPoller, hasConfig, misses }: Situation, chance: number): number {
  const doubled = POLLER_MS * 2 ** Math.min(misses, 10)
  if (isPoller) return Math.min(doubled, MAX_POLLER_MS)
  const longest = hasConfig ? OTHER_MS : Math.min(doubled, MAX_WITHOUT_CONFIG_MS)
  return longest * (0.5 + chance)
}
