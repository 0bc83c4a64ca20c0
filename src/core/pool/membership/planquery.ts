/** Decides whether this host queries the store for a table now, and for what. */

import type { Instant } from '../../id/instant.ts'
import type { SyncAction } from './syncaction.ts'
import type { SyncState } from './syncstate.ts'
import type { TableName } from './tablename.ts'

type AskAction = Extract<SyncAction, { kind: 'ask' }>

/** Least time for a source to answer a process that starts: a connection and a round trip. */
const MIN_SOURCE_WAIT_MS = 20
/** Further time for a source, as a share of what the store took for the host registry: querying the store takes about as long. */
const SOURCE_WAIT_FACTOR = 0.5
/** Time for the seed hosts to start at the first start of the whole system, when no other host is known and no caller waits. */
const FIRST_START_WAIT_MS = 1500

/**
 * A reader's query is a long poll. A follower queries the store only for a table that no source can send soon, or, without waiting, for the
 * changes when it has had no current source for too long.
 */
export function planQuery (state: SyncState, table: TableName, isReader: boolean, now: Instant): AskAction | undefined {
  const { queries, tables, pace, sourceAt, isFirstStart } = state
  const query = queries[table]
  if (query.isPending || now < query.notBefore) return undefined
  // While the store fails one query the others aren't sent, since they would fail as well.
  if (table !== 'config' && queries.config.failures > 0) return undefined
  const { version } = tables[table]
  // A restarted process queries all tables at once: after a failure of all hosts no source knows more, and callers are waiting.
  if (version === undefined) return isReader || table === 'roll' || !isFirstStart || !isExpectedFromSources(state, now) ? { kind: 'ask', table, after: undefined, waitMs: 0, why: 'start' } : undefined
  const after = query.isHistoryLost ? undefined : version
  // A new reader's first query isn't a long poll, since its followers need an answer at once.
  const isInTime = query.lateMs(pace.longPollMs[table], now) <= pace.answerMs
  if (isReader) return { kind: 'ask', table, after, waitMs: isInTime ? pace.longPollMs[table] : 0, why: 'reader' }
  const answeredAt = query.answeredAt ?? -Infinity
  const isDue = now - sourceAt > pace.silenceTimeoutMs && now - answeredAt > pace.longPollMs[table]
  return isDue ? { kind: 'ask', table, after, waitMs: 0, why: 'alone' } : undefined
}

/** Whether a source is expected to send the missing tables soon; used at the first start of the whole system, when no caller waits. */
function isExpectedFromSources ({ tables, queries, ranking, startedAt, seeds, links, pace }: SyncState, now: Instant): boolean {
  const { roll } = queries
  if (tables.roll.version === undefined && roll.failures === 0) return true
  if (ranking.hosts.length === 1) return seeds.length > 0 && now - startedAt < FIRST_START_WAIT_MS
  const tookMs = roll.answeredAt === undefined ? 0 : roll.answeredAt - roll.sentAt
  return links.isExpectingTables(MIN_SOURCE_WAIT_MS + SOURCE_WAIT_FACTOR * tookMs, pace, now)
}
