/** What the store owes a host. */

import type { Instant } from '../../id/instant.ts'
import type { ControlState } from './controlstate.ts'

interface Lateness {
  /** An answer to this host or to one that it hears. */
  readonly lateMs: number
  /** An answer to this host. */
  readonly ownLateMs: number
}

/** Tables whose rows are to be known within a bound. */
const BOUNDED = ['config', 'endpoints'] as const

/** In milliseconds: nothing while questions are answered in time. */
export function latenessOf ({ questions, pace, links }: Pick<ControlState, 'questions' | 'pace' | 'links'>, now: Instant): Lateness {
  const ownLateMs = Math.max(...BOUNDED.map(table => questions[table].lateMs(pace.waitMs[table], now)))
  return { ownLateMs, lateMs: Math.min(ownLateMs, links.latenessMs(now)) }
}
