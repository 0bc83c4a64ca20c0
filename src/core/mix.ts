/** The finalizer of MurmurHash3, a 32-bit hash function: every bit of the input affects every bit of the result. */

const FIRST_MULTIPLIER = 0x85ebca6b
const SECOND_MULTIPLIER = 0xc2b2ae35

/** Returns a whole number from 0 to 2^32 - 1. The upper half of the input has to be folded into it already. */
export function mix (folded: number): number {
  let value = Math.imul(folded, FIRST_MULTIPLIER)
  value = Math.imul(value ^ value >>> 13, SECOND_MULTIPLIER)
  return (value ^ value >>> 16) >>> 0
}
