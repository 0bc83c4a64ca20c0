/** The one seeded generator of a run. */

import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

const UINT32 = 0x100000000

export class Chance {
  private constructor (private readonly generator: ReturnType<typeof xoroshiro128plus>) {}

  static of (seed: number): Chance {
    return new Chance(xoroshiro128plus(seed))
  }

  /** A number in [0, 1). */
  next (): number {
    return (this.generator.next() >>> 0) / UINT32
  }

  /** A whole number in [0, most). */
  below (most: number): number {
    return Math.floor(this.next() * most)
  }

  pick<T> (some: readonly T[]): T | undefined {
    return some.length === 0 ? undefined : some[this.below(some.length)]
  }
}
