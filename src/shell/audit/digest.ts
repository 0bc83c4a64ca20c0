/** The hash that links audit batches to a chain. */

import { createHash } from 'node:crypto'

const DIGEST_LENGTH = 22

/** SHA-256 in base64url, truncated to 132 bits: short enough to store, and still resistant to collisions. */
export function digest (text: string): string {
  return createHash('sha256').update(text).digest('base64url').slice(0, DIGEST_LENGTH)
}
