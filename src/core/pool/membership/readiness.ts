/** Whether what a host knows is enough to serve callers. */

import type { Instant } from '../../id/instant.ts'
import type { SyncState } from './syncstate.ts'
import type { TableName } from './tablename.ts'
import { tableNames } from './tablenames.ts'

/** Nothing can be served without these. */
const REQUIRED_TABLES: readonly TableName[] = ['config', 'endpoints']
/** The least time that a table gets which the host could do without: a call of 4 ms, on a host that does a start's work beside. Milliseconds. */
const MIN_WAIT_MS = 50
/** So many times what the store took for the configuration: both were asked for at once, and the store is as slow with either. */
const WAIT_FACTOR = 2

/**
 * Guard against callers who wait at a host for a table that the store keeps silent, while it gives the others: a store
 * may lose a part of its tables. It showed after a power loss of all hosts as 0.8 s in which nothing was served, though configuration and endpoints were known.
 * A host does without the roll and the leases then, as it does when they don't change: it takes itself for an owner, and asks on.
 */
export function isReady ({ tables, questions }: Pick<SyncState, 'tables' | 'questions'>, now: Instant): boolean {
  const unknown = tableNames.filter(name => tables[name].version === undefined)
  if (unknown.some(name => REQUIRED_TABLES.includes(name))) return false
  const { sentAt: askedAt, answeredAt } = questions.config
  const tookMs = answeredAt === undefined ? 0 : answeredAt - askedAt
  const patienceMs = Math.max(MIN_WAIT_MS, WAIT_FACTOR * tookMs)
  // A table for which the host never asked is about to be told by another.
  return unknown.every(name => questions[name].sentAt > -Infinity && now - questions[name].sentAt > patienceMs)
}
