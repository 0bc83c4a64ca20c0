/** The wait before the next try at a service that failed: doubled each time, up to a bound, and spread by chance. */

interface Bounds {
  readonly firstMs: number
  readonly mostMs: number
}

/**
 * Half of the wait is fixed and half is chance. Against hosts that all failed
 * at one moment and would all come back at one moment, again and again, as
 * when the store's outage ends.
 */
export function backoff (misses: number, { firstMs, mostMs }: Bounds, chance: number): number {
  const full = Math.min(mostMs, firstMs * 2 ** Math.min(misses, 30))
  return full / 2 + full / 2 * chance
}
