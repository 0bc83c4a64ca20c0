/** A short form of a session's id that processes exchange. */

import type { SessionId } from '../id/session.ts'

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * The 32-bit FNV-1a hash of the id. Sessions with the same fingerprint are treated as one: each then also waits for the other's writes, which
 * is slower but still correct. Never 0, which stands for a request without a session.
 */
export function fingerprint (id: SessionId): number {
  let value = FNV_OFFSET
  for (let i = 0; i < id.length; i++) value = Math.imul(value ^ id.charCodeAt(i), FNV_PRIME)
  return value >>> 0 || 1
}
