/** Validates configuration documents, as operators write them, and turns them into a `Config`. */

import { err, ok, type Result } from 'neverthrow'
import * as z from 'zod'
import { parseAddress } from '../settings/address.ts'
import { parseDuration } from '../settings/duration.ts'
import { describeIssues } from '../settings/issues.ts'
import type { ConfigVersion } from '../id/version.ts'
import type { Freshness } from '../routing/freshness.ts'
import type { Config } from './config.ts'
import { findDuplicate } from './duplicate.ts'
import { serviceLevels } from './servicelevels.ts'

const KEYS_REFERENCE = '"Patch the configuration" in docs/OPERATIONS.md'
const MAX_SLOTS = 8
const MAX_CONNECTIONS = 1000
const MAX_AGE_MS = 86_400_000

const freshness = z.string().transform((text, context): Freshness => {
  if (text === 'strict' || text === 'session') return { kind: text }
  const age = parseDuration(text).unwrapOr(0)
  if (age > 0 && age <= MAX_AGE_MS) return { kind: 'age', ms: age }
  context.addIssue({ code: 'custom', message: `"${text}" isn't a freshness; write "strict", "session" or an age up to "1d" such as "5s"` })
  return z.NEVER
})

const address = z.string().superRefine((text, context) => {
  const parsed = parseAddress(text)
  if (parsed.isErr()) context.addIssue({ code: 'custom', message: parsed.error })
})

const name = z.string().regex(/^[\w.-]{1,64}$/, 'write a name of letters, digits, "_", "-" and "."')

const passwordHash = z.string().regex(/^[0-9a-f]{40}$/,
  'write the SHA-1 of the SHA-1 of the password as 40 hexadecimal digits in lower case, as MySQL stores it')

const shape = z.strictObject({
  groups: z.array(z.strictObject({
    id: name,
    database: name,
    endpoints: z.array(z.strictObject({ id: name, address, dataCentre: name, leaving: z.boolean().default(false) })).min(1),
    slotsPerEndpoint: z.int().min(1).max(MAX_SLOTS).default(2),
    connectionsPerSlot: z.int().min(4).max(MAX_CONNECTIONS).default(16)
  })),
  pools: z.array(z.strictObject({
    id: name,
    groups: z.array(z.string()),
    callers: z.array(z.strictObject({ id: name, passwordHash })),
    kinds: z.array(z.strictObject({ name, freshness })).default([]),
    freshness: freshness.default({ kind: 'session' })
  })),
  serviceLevels
})

type Document = z.output<typeof shape>

/** Returns the validated configuration, or one line that says where it's wrong and what to write instead. */
export function parseConfig (version: ConfigVersion, document: unknown): Result<Config, string> {
  const parsed = shape.safeParse(document)
  if (!parsed.success) return err(describeIssues(parsed.error.issues, document, KEYS_REFERENCE))
  const problem = findUnknownReference(parsed.data) ?? findDuplicateName(parsed.data) ?? findDuplicateInPool(parsed.data)
  if (problem !== undefined) return err(problem)
  return ok({ version, ...parsed.data } as unknown as Config)
}

function findUnknownReference ({ groups, pools, serviceLevels }: Document): string | undefined {
  const known = new Set(groups.map(group => group.id))
  for (const pool of pools) {
    const unknownId = pool.groups.find(id => !known.has(id))
    if (unknownId !== undefined) return `pools.${pool.id}.groups: "${unknownId}" isn't a group; add it to groups or remove it here`
  }
  const level = serviceLevels.find(one => !pools.some(pool => pool.id === one.pool))
  if (level !== undefined) return `serviceLevels.${level.name}.pool: "${level.pool}" isn't a pool; name one of the pools`
  return undefined
}

/** Ids are unique in the whole document, and so are endpoint addresses, by which connections are counted. A caller logs in by its id alone. */
function findDuplicateName ({ groups, pools, serviceLevels }: Document): string | undefined {
  const endpoints = groups.flatMap(group => group.endpoints)
  const lists: ReadonlyArray<readonly [string, readonly string[]]> = [
    ['groups', groups.map(group => group.id)],
    ['pools', pools.map(pool => pool.id)],
    ['endpoints', endpoints.map(endpoint => endpoint.id)],
    ['addresses of endpoints', endpoints.map(endpoint => endpoint.address)],
    ['callers', pools.flatMap(pool => pool.callers.map(caller => caller.id))],
    ['serviceLevels', serviceLevels.map(level => level.name)]
  ]
  for (const [kind, names] of lists) {
    const duplicate = findDuplicate(names)
    if (duplicate !== undefined) return `${kind}: "${duplicate}" comes twice; rename or remove one`
  }
  return undefined
}

/** Each database and kind that callers name must be unique in its pool. */
function findDuplicateInPool ({ groups, pools }: Document): string | undefined {
  const database = new Map(groups.map(group => [group.id, group.database]))
  for (const pool of pools) {
    const group = findDuplicate(pool.groups.map(id => database.get(id)!))
    if (group !== undefined) return `pools.${pool.id}.groups: database "${group}" comes twice; leave one of its groups out`
    const kind = findDuplicate(pool.kinds.map(one => one.name))
    if (kind !== undefined) return `pools.${pool.id}.kinds: "${kind}" comes twice; rename or remove one`
  }
  return undefined
}
