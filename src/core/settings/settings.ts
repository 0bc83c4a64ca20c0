/** The settings of one process: its addresses, its data centre and where the platform is. */

import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { parseDuration } from './duration.ts'

const duration = z.string().transform((text, context) => {
  const parsed = parseDuration(text)
  if (parsed.isOk()) return parsed.value
  context.addIssue({ code: 'custom', message: parsed.error })
  return z.NEVER
})

const address = z.string().regex(/^\d+\.\d+\.\d+\.\d+:\d+$/, 'write an address as "ip:port"')

const shape = z.strictObject({
  host: z.strictObject({ id: z.string().min(1), dataCentre: z.string().min(1) }),
  listen: z.strictObject({ callers: address, peers: address, metrics: address }),
  platform: z.strictObject({
    tableService: z.url(),
    objectStore: z.url(),
    hostList: z.url(),
    region: z.string().default('local'),
    table: z.string().default('agatepond'),
    bucket: z.string().default('agatepond'),
    timeout: duration.default(1000)
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
    retry: duration.default(100)
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
    bytes: z.int().min(1).default(4_000_000),
    age: duration.default(5000),
    buffer: z.int().min(1).default(16_000_000),
    flush: duration.default(2000)
  }).prefault({}),
  requests: z.strictObject({
    deadline: duration.default(5000),
    sessions: z.int().min(1).default(100_000)
  }).prefault({})
})

/** Durations are in milliseconds. */
type Settings = z.output<typeof shape>

/** The checked settings, or one line that names the key, what is wrong and the remedy. */
export function parseSettings (document: unknown): Result<Settings, string> {
  const parsed = shape.safeParse(document)
  if (parsed.success) return ok(parsed.data)
  const issue = parsed.error.issues[0]!
  if (issue.code === 'unrecognized_keys') {
    return err(`${[...issue.path, issue.keys[0]].join('.')}: unknown key; remove it or see the list of settings in docs/OPERATIONS.md`)
  }
  return err(`${issue.path.join('.')}: ${issue.message}`)
}
