/** Computes the digest of a caller's key. */

import { createHash } from 'node:crypto'
import type { KeyDigest } from '../../../core/pool/access/keydigest.ts'

/** Keys are looked up by their digests, so that the timing of a look-up reveals nothing about a partly correct key. */
export function digestOf (key: string): KeyDigest {
  return createHash('sha256').update(key, 'latin1').digest('hex') as KeyDigest
}
