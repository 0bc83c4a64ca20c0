/** Exponential back-off with jitter. */

interface Bounds {
  readonly firstMs: number
  readonly mostMs: number
}

/**
 * The wait before the next try, in milliseconds: doubled with each miss, up to
 * `mostMs`. Half of it is random, so that hosts that failed together, as in an
 * outage of the store, don't retry together.
 */
export function backoff (misses: number, { firstMs, mostMs }: Bounds, chance: number): number {
  const full = Math.min(mostMs, firstMs * 2 ** Math.min(misses, 30))
  return full / 2 + full / 2 * chance
}
