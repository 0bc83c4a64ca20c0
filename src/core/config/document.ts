/** The configuration as operators write it, checked and turned into a `Config`. */

import { err, ok, type Result } from 'neverthrow'
import { z } from 'zod'
import { parseDuration } from '../settings/duration.ts'
import type { ConfigVersion } from '../id/version.ts'
import type { Freshness } from '../routing/freshness.ts'
import type { Config } from './config.ts'
import { serviceLevels } from './servicelevels.ts'

const freshness = z.string().transform((text, context): Freshness => {
  if (text === 'strict' || text === 'session') return { kind: text }
  const age = parseDuration(text)
  if (age.isOk()) return { kind: 'age', ms: age.value }
  context.addIssue({ code: 'custom', message: `"${text}" isn't a freshness; write "strict", "session" or an age such as "5s"` })
  return z.NEVER
})

const shape = z.strictObject({
  groups: z.array(z.strictObject({
    id: z.string(),
    database: z.string(),
    endpoints: z.array(z.strictObject({ id: z.string(), address: z.string(), dataCentre: z.string() })).min(1),
    slotsPerEndpoint: z.int().min(1).default(2),
    connectionsPerSlot: z.int().min(4).default(16)
  })),
  pools: z.array(z.strictObject({
    id: z.string(),
    groups: z.array(z.string()),
    callers: z.array(z.strictObject({ id: z.string(), passwordHash: z.string().regex(/^[0-9a-f]{40}$/) })),
    kinds: z.array(z.strictObject({ name: z.string(), freshness })).default([]),
    freshness: freshness.default({ kind: 'session' })
  })),
  serviceLevels
})

/** The checked configuration, or one line that says where it's wrong and what to write instead. */
export function parseConfig (version: ConfigVersion, document: unknown): Result<Config, string> {
  const parsed = shape.safeParse(document)
  if (!parsed.success) {
    const issue = parsed.error.issues[0]!
    return err(`${issue.path.join('.')}: ${issue.message}`)
  }
  const known = new Set(parsed.data.groups.map(group => group.id))
  for (const pool of parsed.data.pools) {
    const stray = pool.groups.find(id => !known.has(id))
    if (stray !== undefined) return err(`pools.${pool.id}.groups: "${stray}" isn't a group; add it to groups or remove it here`)
  }
  const strayLevel = parsed.data.serviceLevels.find(level => !parsed.data.pools.some(pool => pool.id === level.pool))
  if (strayLevel !== undefined) return err(`serviceLevels.${strayLevel.name}.pool: "${strayLevel.pool}" isn't a pool; name one of the pools`)
  return ok({ version, ...parsed.data } as unknown as Config)
}
