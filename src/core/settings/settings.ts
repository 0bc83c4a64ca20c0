/** The settings of one process: its addresses, its data centre and where the platform is. */

import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'
import { parseAddress } from './address.ts'
import { findConflict } from './conflict.ts'
import { parseDuration } from './duration.ts'
import { describeIssues } from './issues.ts'
import { parseSize } from './size.ts'

/** Timeout of one request to the platform; docs/OPERATIONS.md names the default. */
const PLATFORM_TIMEOUT_MS = 1000

const KEYS_REFERENCE = '"Settings" in docs/OPERATIONS.md'

const duration = z.string({ error: 'write a duration as text with a unit, such as "250ms" or "1.5s"' }).transform((text, context) => {
  const parsed = parseDuration(text)
  if (parsed.isOk()) return parsed.value
  context.addIssue({ code: 'custom', message: parsed.error })
  return z.NEVER
})

/** A size in bytes, as a number or as a text with a unit. */
const size = z.union([z.int().min(1), z.string()], { error: 'write a size such as "512KiB" or "64MiB", or a whole number of bytes' })
  .transform((value, context) => {
    if (typeof value === 'number') return value
    const parsed = parseSize(value)
    if (parsed.isOk()) return parsed.value
    context.addIssue({ code: 'custom', message: parsed.error })
    return z.NEVER
  })

const address = z.string().superRefine((text, context) => {
  const parsed = parseAddress(text)
  if (parsed.isErr()) context.addIssue({ code: 'custom', message: parsed.error })
})

const name = z.string().regex(/^[\w.-]{1,64}$/, 'write a name of letters, digits, "_", "-" and "."')

const shape = z.strictObject({
  host: z.strictObject({ id: name, dataCentre: name }),
  listen: z.strictObject({ callers: address, peers: address, metrics: address }),
  platform: z.strictObject({
    tableService: z.url(),
    objectStore: z.url(),
    hostList: z.url(),
    region: z.string().default('local'),
    table: z.string().default('agatepond'),
    bucket: z.string().default('agatepond'),
    timeout: duration.default(PLATFORM_TIMEOUT_MS)
  }),
  endpoints: z.strictObject({
    user: z.string(),
    password: z.string(),
    controlUser: z.string(),
    controlPassword: z.string(),
    connectTimeout: duration.default(1000)
  }),
  failover: z.strictObject({
    probe: duration.default(100),
    probeTimeout: duration.default(150),
    misses: z.int().min(1).default(2),
    rankDelay: duration.default(150),
    round: duration.default(500),
    jitter: duration.default(100)
  }).prefault({}),
  peers: z.strictObject({
    beat: duration.default(200),
    silent: duration.default(1200),
    gone: duration.default(3000),
    retry: duration.default(100),
    tls: z.strictObject({ key: z.string(), certificate: z.string(), authority: z.string() }).optional()
  }).prefault({}),
  drain: z.strictObject({
    announce: duration.default(1000),
    transactions: duration.default(10_000),
    callers: duration.default(5000),
    idle: duration.default(500),
    pause: duration.default(20)
  }).prefault({}),
  audit: z.strictObject({
    enabled: z.boolean().default(true),
    records: z.int().min(1).default(5000),
    bytes: size.default(4_000_000),
    age: duration.default(5000),
    buffer: size.default(16_000_000),
    flush: duration.default(2000)
  }).prefault({}),
  requests: z.strictObject({
    deadline: duration.default(5000),
    sessions: z.int().min(1).default(100_000)
  }).prefault({})
})

/** Durations are in milliseconds. */
type Settings = z.output<typeof shape>

/** Returns the validated settings, or a line for each problem that names the key, the problem and the remedy. */
export function parseSettings (document: unknown): Result<Settings, string> {
  const parsed = shape.safeParse(document)
  if (!parsed.success) return err(describeIssues(parsed.error.issues, document, KEYS_REFERENCE))
  const contradiction = findConflict(parsed.data)
  return contradiction === undefined ? ok(parsed.data) : err(contradiction)
}
