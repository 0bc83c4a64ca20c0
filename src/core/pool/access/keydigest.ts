/** Digest that stands for a caller's key wherever keys are stored, sent or compared. */

import type { Brand } from '../../brand.ts'

/** SHA-256 of a key in hexadecimal. The key itself is secret and is not kept. */
export type KeyDigest = Brand<string, 'KeyDigest'>
