/** The last steps of a 32-bit hash, after which every bit of the input moves every bit of the result (MurmurHash3's finalizer). */

const FIRST_MULTIPLIER = 0x85ebca6b
const SECOND_MULTIPLIER = 0xc2b2ae35

/** A whole number from 0 to 2^32 - 1. The input's upper half is to be folded into it already. */
export function mix (folded: number): number {
  let value = Math.imul(folded, FIRST_MULTIPLIER)
  value = Math.imul(value ^ value >>> 13, SECOND_MULTIPLIER)
  return (value ^ value >>> 16) >>> 0
}
