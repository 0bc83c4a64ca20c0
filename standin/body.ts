/** The body of an HTTP request. */

import type { IncomingMessage } from 'node:http'

/** Reads the whole body; only for requests of tests, which are small. */
export async function bodyOf (req: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = []
  for await (const part of req) parts.push(part as Buffer)
  return Buffer.concat(parts)
}
