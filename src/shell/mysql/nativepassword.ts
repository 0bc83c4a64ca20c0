/** Password verification for mysql_native_password. */

import { createHash, timingSafeEqual } from 'node:crypto'

/**
 * Whether the client's response matches the password whose double SHA-1 is
 * `passwordHash`, given the scramble that the server sent. Only the double hash
 * is stored, so a leaked configuration doesn't let anyone sign in.
 */
export function isNativePassword (answer: Buffer, scramble: Buffer, passwordHash: string): boolean {
  const stored = Buffer.from(passwordHash, 'hex')
  if (answer.length !== stored.length) return false
  const mask = sha1(Buffer.concat([scramble, stored]))
  const once = Buffer.from(answer.map((byte, i) => byte ^ mask[i]!))
  return timingSafeEqual(sha1(once), stored)
}

function sha1 (data: Buffer): Buffer {
  return createHash('sha1').update(data).digest()
}
