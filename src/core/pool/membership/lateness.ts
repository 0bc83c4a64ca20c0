/** By how much the store's answers are overdue at a host. */

import type { Instant } from '../../id/instant.ts'
import type { SyncState } from './syncstate.ts'

interface Lateness {
  /** At this host or at the best of its sources, in milliseconds. */
  readonly lateMs: number
  /** At this host alone, in milliseconds. */
  readonly ownLateMs: number
}

/** Tables whose staleness is bounded. */
const BOUNDED_TABLES = ['config', 'endpoints'] as const

/** 0 while queries are answered in time. */
export function latenessOf ({ queries, pace, links }: Pick<SyncState, 'queries' | 'pace' | 'links'>, now: Instant): Lateness {
  const ownLateMs = Math.max(...BOUNDED_TABLES.map(table => queries[table].lateMs(pace.longPollMs[table], now)))
  return { ownLateMs, lateMs: Math.min(ownLateMs, links.latenessMs(now)) }
}
