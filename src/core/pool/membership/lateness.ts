/** What the store owes a host that asks it. */

import type { Instant } from '../../id/instant.ts'
import type { ControlState } from './controlstate.ts'

/** Tables whose rows are to be known within a bound. */
const BOUNDED = ['config', 'endpoints'] as const

/** In milliseconds: nothing while its questions are answered in time. */
export function latenessOf ({ questions, pace }: Pick<ControlState, 'questions' | 'pace'>, now: Instant): number {
  return Math.max(...BOUNDED.map(table => questions[table].lateMs(pace.waitMs[table], now)))
}
