/** The hash of the records' chain. */

import { createHash } from 'node:crypto'

const DIGEST_LENGTH = 22

/** SHA-256 cut to 132 bits: a record carries one, and a longer one wouldn't make a collision any more likely to be found. */
export function digest (text: string): string {
  return createHash('sha256').update(text).digest('base64url').slice(0, DIGEST_LENGTH)
}
