/** What stands for a caller's key wherever it's kept, told or compared. */

import type { Brand } from '../../brand.ts'

/** SHA-256 of a key, in hexadecimal. The key itself is a secret, and stays where it was sent. */
export type KeyDigest = Brand<string, 'KeyDigest'>
