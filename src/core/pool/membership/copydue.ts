/** Whether this host is to keep the compressed copy of the configuration now. */

import type { Instant } from '../../id/instant.ts'
import type { ControlAction } from './controlaction.ts'
import type { ControlState } from './controlstate.ts'
import { linkOf } from './linkof.ts'

type Copy = Extract<ControlAction, { kind: 'copy' }>

/**
 * One host keeps it: the first reader that answers in the first of the data centres, by name. What the
 * copy says it is as new as must be young enough for the store to know what changed since, so it's said again in time.
 */
export function dueCopy (state: ControlState, isReader: boolean, now: Instant): Copy | undefined {
  const { tables, ranking, self, links, questions, pace } = state
  const { version } = tables.config
  if (!isReader || version === undefined || self.isLeaving) return undefined
  const isLate = questions.config.lateMs(pace.waitMs.config, now) > pace.answerMs
  const first = ranking.near.find(host => host.id === self.id || !links.isMissed(linkOf(host), now))
  const isFirstCentre = ranking.hosts.every(({ dataCentre }) => dataCentre >= self.dataCentre)
  if (isLate || first?.id !== self.id || !isFirstCentre) return undefined
  return { kind: 'copy', rows: tables.config.rows, version }
}
