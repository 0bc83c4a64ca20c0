/** Decides whether a host knows enough tables to serve callers. */

import type { Instant } from '../../id/instant.ts'
import type { SyncState } from './syncstate.ts'
import type { TableName } from './tablename.ts'
import { tableNames } from './tablenames.ts'

/** Tables without which no statement can be served. */
const REQUIRED_TABLES: readonly TableName[] = ['config', 'endpoints']
/** Least time to wait for a table that isn't required; ample for a call during the work of a start. */
const MIN_WAIT_MS = 50
/** Time to wait for such a table, in durations of the query for the configuration, which was sent at the same time. */
const WAIT_FACTOR = 2

/**
 * A store may fail for some of its tables only. When the host registry or the shared table stays unanswered, the host serves without it,
 * acting as an owner of its groups, and keeps querying. Waiting for them after a power loss cost 0.8 s in which nothing was served.
 */
export function isReady ({ tables, queries }: Pick<SyncState, 'tables' | 'queries'>, now: Instant): boolean {
  const unknown = tableNames.filter(name => tables[name].version === undefined)
  if (unknown.some(name => REQUIRED_TABLES.includes(name))) return false
  const { sentAt, answeredAt } = queries.config
  const tookMs = answeredAt === undefined ? 0 : answeredAt - sentAt
  const timeoutMs = Math.max(MIN_WAIT_MS, WAIT_FACTOR * tookMs)
  // A table that this host hasn't queried is expected from a source.
  return unknown.every(name => queries[name].sentAt > -Infinity && now - queries[name].sentAt > timeoutMs)
}
