/** What the store owes a host. */

import type { Instant } from '../../id/instant.ts'
import type { SyncState } from './syncstate.ts'

interface Lateness {
  /** An answer to this host or to one that it hears. */
  readonly lateMs: number
  /** An answer to this host. */
  readonly ownLateMs: number
}

/** Tables whose rows are to be known within a bound. */
const BOUNDED_TABLES = ['config', 'endpoints'] as const

/** In milliseconds: nothing while questions are answered in time. */
export function latenessOf ({ questions, pace, links }: Pick<SyncState, 'questions' | 'pace' | 'links'>, now: Instant): Lateness {
  const ownLateMs = Math.max(...BOUNDED_TABLES.map(table => questions[table].lateMs(pace.longPollMs[table], now)))
  return { ownLateMs, lateMs: Math.min(ownLateMs, links.latenessMs(now)) }
}
