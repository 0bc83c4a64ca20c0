/** Decides whether this host writes the compressed copy of the configuration now. */

import type { Instant } from '../../id/instant.ts'
import type { SyncAction } from './syncaction.ts'
import type { SyncState } from './syncstate.ts'
import { linkOf } from './linkof.ts'

type CopyAction = Extract<SyncAction, { kind: 'copy' }>

/**
 * Only one host writes it: the first available reader of the first data centre by name. The copy is renewed periodically, so that the store's
 * history still includes the changes since its version.
 */
export function planCopy (state: SyncState, isReader: boolean, now: Instant): CopyAction | undefined {
  const { tables, ranking, self, links, queries, pace } = state
  const { version } = tables.config
  if (!isReader || version === undefined || self.isLeaving) return undefined
  const isLate = queries.config.lateMs(pace.longPollMs.config, now) > pace.answerMs
  const first = ranking.local.find(host => host.id === self.id || !links.isExcluded(linkOf(host), now))
  const isFirstDataCentre = ranking.hosts.every(({ dataCentre }) => dataCentre >= self.dataCentre)
  if (isLate || first?.id !== self.id || !isFirstDataCentre) return undefined
  return { kind: 'copy', rows: tables.config.rows, version }
}
