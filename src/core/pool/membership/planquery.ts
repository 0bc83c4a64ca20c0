/** Whether this host is to ask the store about a table now, and what. */

import type { Instant } from '../../id/instant.ts'
import type { SyncAction } from './syncaction.ts'
import type { SyncState } from './syncstate.ts'
import type { TableName } from './tablename.ts'

type AskAction = Extract<SyncAction, { kind: 'ask' }>

/** The least time that a neighbour gets to answer a process that starts: a connection and two ways, */
const MIN_SOURCE_WAIT_MS = 20
/** and that part of what the store took for the roll: asking it for the rest takes about as long again, and after a power loss of all hosts no neighbour knows more. */
const SOURCE_WAIT_FACTOR = 0.5
/** Where no host is known yet the whole system starts, and nobody waits to be served: those that the settings name get this time to have all started. */
const FIRST_START_WAIT_MS = 1500

/**
 * A reader's question is held open. A host that hears from others asks nothing,
 * unless it lacks a table that none of them can tell it soon, or for too long none of them
 * has heard from the store itself: then it asks for what changed, without waiting.
 */
export function planQuery (state: SyncState, table: TableName, isReader: boolean, now: Instant): AskAction | undefined {
  const { questions, tables, pace, sourceAt: coveredAt, isFirstStart } = state
  const question = questions[table]
  if (question.isPending || now < question.notBefore) return undefined
  // A store that fails one question fails the others too, and refused calls count like any.
  if (table !== 'config' && questions.config.failures > 0) return undefined
  const { version } = tables[table]
  // A process that is started again asks for all at once: after a power loss its neighbours know no more than it does, and callers wait for it.
  if (version === undefined) return isReader || table === 'roll' || !isFirstStart || !isExpectedFromSources(state, now) ? { kind: 'ask', table, after: undefined, waitMs: 0, why: 'start' } : undefined
  const after = question.isHistoryLost ? undefined : version
  // A host that begins to ask for others is of use to them once it has an answer, so its first question isn't held open.
  const isHeld = question.lateMs(pace.longPollMs[table], now) <= pace.answerMs
  if (isReader) return { kind: 'ask', table, after, waitMs: isHeld ? pace.longPollMs[table] : 0, why: 'reader' }
  const answeredAt = question.answeredAt ?? -Infinity
  const isDue = now - coveredAt > pace.silenceTimeoutMs && now - answeredAt > pace.longPollMs[table]
  return isDue ? { kind: 'ask', table, after, waitMs: 0, why: 'alone' } : undefined
}

/** Whether other hosts will tell this one soon what it doesn't know, where the whole system starts for the first time and nobody waits to be served. */
function isExpectedFromSources ({ tables, questions, ranking, startedAt, seeds, links, pace }: SyncState, now: Instant): boolean {
  const { roll } = questions
  if (tables.roll.version === undefined && roll.failures === 0) return true
  if (ranking.hosts.length === 1) return seeds.length > 0 && now - startedAt < FIRST_START_WAIT_MS
  const tookMs = roll.answeredAt === undefined ? 0 : roll.answeredAt - roll.sentAt
  return links.isExpectingTables(MIN_SOURCE_WAIT_MS + SOURCE_WAIT_FACTOR * tookMs, pace, now)
}
