/** Weights for rendezvous hashing: every host computes the same number for the same text. */

import { mix } from './mix.ts'

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** 32-bit FNV-1a with a final mix, without which texts that differ only at the end would get similar weights. */
export function weightOf (text: string): number {
  let value = FNV_OFFSET
  for (let i = 0; i < text.length; i++) {
    value = Math.imul(value ^ text.charCodeAt(i), FNV_PRIME)
  }
  return mix(value ^ value >>> 16)
}
