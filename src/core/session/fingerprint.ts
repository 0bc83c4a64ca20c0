/** A short stand-in for a session's id between processes. */

import type { SessionId } from '../id/session.ts'

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/**
 * 32-bit FNV-1a. Two sessions with one fingerprint are taken for one session:
 * each then waits for the other's writes too, which costs time and no promise.
 * Never 0, which stands for a request that no session is known of.
 */
export function fingerprint (id: SessionId): number {
  let value = FNV_OFFSET
  for (let i = 0; i < id.length; i++) value = Math.imul(value ^ id.charCodeAt(i), FNV_PRIME)
  return value >>> 0 || 1
}
