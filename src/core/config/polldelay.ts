/**
 * How often a host asks the store for the newest version. A few hosts poll for
 * all; the others ask rarely, in case they are told nothing.
 *
 * Guard against a store that comes back from an outage under the polls of all
 * hosts together: whoever isn't a poller backs off, and chance spreads them.
 */

const POLLER_MS = 500
const MAX_POLLER_MS = 2000
const OTHER_MS = 30_000
const MAX_WITHOUT_CONFIG_MS = 8000

interface Situation {
  readonly isPoller: boolean
  readonly hasConfig: boolean
  /** Polls in a row that were not answered, or answered with nothing. */
  readonly misses: number
}

/** Milliseconds until the next poll; `chance` is a number in [0, 1). */
export function pollDelayMs ({ isPoller, hasConfig, misses }: Situation, chance: number): number {
  const doubled = POLLER_MS * 2 ** Math.min(misses, 10)
  if (isPoller) return Math.min(doubled, MAX_POLLER_MS)
  const longest = hasConfig ? OTHER_MS : Math.min(doubled, MAX_WITHOUT_CONFIG_MS)
  return longest * (0.5 + chance)
}
