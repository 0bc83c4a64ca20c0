/** Whether this host is to keep the compressed copy of the configuration now. */

import type { Instant } from '../../id/instant.ts'
import type { SyncAction } from './syncaction.ts'
import type { SyncState } from './syncstate.ts'
import { linkOf } from './linkof.ts'

type CopyAction = Extract<SyncAction, { kind: 'copy' }>

/**
 * One host keeps it: the first reader that answers in the first of the data centres, by name. What the
 * copy says it is as new as must be young enough for the store to know what changed since, so it's said again in time.
 */
export function planCopy (state: SyncState, isReader: boolean, now: Instant): CopyAction | undefined {
  const { tables, ranking, self, links, questions, pace } = state
  const { version } = tables.config
  if (!isReader || version === undefined || self.isLeaving) return undefined
  const isLate = questions.config.lateMs(pace.longPollMs.config, now) > pace.answerMs
  const first = ranking.local.find(host => host.id === self.id || !links.isExcluded(linkOf(host), now))
  const isFirstCentre = ranking.hosts.every(({ dataCentre }) => dataCentre >= self.dataCentre)
  if (isLate || first?.id !== self.id || !isFirstCentre) return undefined
  return { kind: 'copy', rows: tables.config.rows, version }
}
