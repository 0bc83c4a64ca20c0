/** Turns a caller's key into what stands for it. */

import { createHash } from 'node:crypto'
import type { KeyDigest } from '../../../core/pool/access/keydigest.ts'

/**
 * Keys are looked up by their digests, so the time that a look-up takes tells nothing of how much of a key was guessed rightly:
 * a key that is nearly right has another digest altogether.
 */
export function digestOf (key: string): KeyDigest {
  return createHash('sha256').update(key, 'latin1').digest('hex') as KeyDigest
}
