/** The random number generator of a process. */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const UINT32 = 0x100000000

/**
 * Returns a generator of numbers in [0, 1).
 * @param seed a text that begins with eight hexadecimal digits, such as the process's incarnation
 */
export function seededChance (seed: string): () => number {
  const generator = xoroshiro128plus(parseInt(seed.slice(0, 8), 16))
  return () => (generator.next() >>> 0) / UINT32
}
