/** Encodes messages between hosts as lines of JSON; long ones are compressed. */

import { deflateRawSync, inflateRawSync } from 'node:zlib'
import * as z from 'zod'
import type { DataCentreId } from '../../../core/id/datacentre.ts'
import type { HostId } from '../../../core/id/host.ts'
import type { SyncMessage } from '../../../core/pool/membership/syncmessage.ts'
import { tableNames } from '../../../core/pool/membership/tablenames.ts'
import { readJson } from '../../../core/readjson.ts'

/** Shorter messages aren't worth compressing. A configuration of 300 KB shrinks to a tenth. */
const COMPRESS_FROM_CHARACTERS = 2000

const versions = z.partialRecord(z.enum(tableNames), z.number())
const row = z.object({ key: z.string(), version: z.number(), value: z.string().optional() }).transform(({ key, version, value }) => ({ key, version, value }))
const entry = z.object({
  id: z.string().transform(id => id as HostId),
  dataCentre: z.string().transform(id => id as DataCentreId),
  address: z.object({ ip: z.string(), port: z.int() }),
  linkPort: z.int(),
  capacity: z.number().positive().optional(),
  incarnation: z.int(),
  isLeaving: z.boolean()
})
const messageShape = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('follow'), self: entry, versions, isConfirming: z.boolean().optional() }),
  z.object({ kind: z.literal('alive') }),
  z.object({ kind: z.literal('confirm'), table: z.enum(tableNames), version: z.number(), isAnswer: z.boolean() }),
  z.object({ kind: z.literal('rows'), table: z.enum(tableNames), isWhole: z.boolean(), rows: z.array(row), version: z.number(), isToConfirm: z.boolean().optional() }),
  z.object({ kind: z.literal('beat'), lateMs: z.number(), ownLateMs: z.number(), versions, asOf: versions }),
  z.object({ kind: z.literal('welcome'), hasTables: z.boolean(), storeMs: z.number().optional() })
])
const packed = z.object({ packed: z.string() })

/** Caches encoded lines, since a host sends the same message to all its followers. */
const encoded = new WeakMap<SyncMessage, string>()

export const messageCodec = {
  /** The line of a message, including the line feed. */
  encode (message: SyncMessage): string {
    const known = encoded.get(message)
    if (known !== undefined) return known
    const text = JSON.stringify(message)
    const line = text.length < COMPRESS_FROM_CHARACTERS ? `${text}\n` : `${JSON.stringify({ packed: deflateRawSync(text).toString('base64') })}\n`
    encoded.set(message, line)
    return line
  },

  /** Undefined for a line that isn't a valid message. */
  decode (line: string): SyncMessage | undefined {
    const json = readJson(line)
    const compressed = packed.safeParse(json)
    const parsed = messageShape.safeParse(compressed.success ? readJson(decompress(compressed.data.packed)) : json)
    return parsed.success ? parsed.data : undefined
  }
}

function decompress (text: string): string {
  try {
    return inflateRawSync(Buffer.from(text, 'base64')).toString('utf8')
  } catch {
    // The empty string is no valid message, so the caller closes the link.
    return ''
  }
}
