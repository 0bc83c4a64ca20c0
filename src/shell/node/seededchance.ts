/** The one generator for chance of a process. */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const UINT32 = 0x100000000

/** Numbers in [0, 1), seeded so that no two processes draw the same numbers. */
export function seededChance (seed: string): () => number {
  const generator = xoroshiro128plus(parseInt(seed.slice(0, 8), 16))
  return () => (generator.next() >>> 0) / UINT32
}
