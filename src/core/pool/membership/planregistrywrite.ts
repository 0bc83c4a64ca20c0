/** Decides whether this host writes its row of the host registry now, and its value. */

import type { Instant } from '../../id/instant.ts'
import type { SyncAction } from './syncaction.ts'
import type { SyncState } from './syncstate.ts'
import type { HostEntry } from './hostentry.ts'
import { linkOf } from './linkof.ts'
import { HostRegistry } from './hostregistry.ts'
import { registryRow } from './registryrow.ts'

type WriteAction = Extract<SyncAction, { kind: 'write' }>

/** Delay before a leaving host is reported, so that a quick restart doesn't redistribute the connections to endpoints twice. */
const LEAVING_DELAY_MS = 5000

/** A reader, or a host without a current source, lists itself and its followers, unless another row already lists them. */
export function planRegistryWrite (state: SyncState, isReader: boolean, now: Instant): WriteAction | undefined {
  const { row, roll, self, followers, startedAt, sourceAt, pace, tables, links } = state
  if (tables.roll.version === undefined) return undefined
  const hasNoSource = now - Math.max(sourceAt, startedAt) > pace.silenceTimeoutMs
  if (!isReader && !hasNoSource) return undefined
  // Its sources report that this host leaves; without any it does so itself.
  const own = { ...self, isLeaving: self.isLeaving && links.open.length === 0 }
  const others = followers.heard(now).filter(({ entry }) => entry.id !== self.id).map(({ entry, heardAt }) => ({ ...entry, isLeaving: entry.isLeaving && now - heardAt >= LEAVING_DELAY_MS }))
  const listed = roll.entries(now)
  const heard = [own, ...others].map(entry => keepListedIncarnation(entry, listed.get(entry.id)))
  const unlisted = heard.filter(entry => !roll.isListedByOther(entry, self.id, now)).sort((a, b) => a.id < b.id ? -1 : 1)
  const value = registryRow.encode(unlisted)
  const isDue = value !== row.value || now - row.at >= HostRegistry.renewalMs
  if (unlisted.length === 0 || !isDue) return undefined
  return { kind: 'write', value, deletedKeys: roll.expiredWriters(now).filter(id => id !== self.id).map(registryRow.keyOf) }
}

/** Keeps the listed incarnation of a host that restarted without other changes, so that the row doesn't change. */
function keepListedIncarnation (entry: HostEntry, listed: HostEntry | undefined): HostEntry {
  const isSame = listed !== undefined && !listed.isLeaving && !entry.isLeaving && linkOf(listed) === linkOf(entry) && listed.address.port === entry.address.port && listed.dataCentre === entry.dataCentre && listed.capacity === entry.capacity
  return isSame ? { ...entry, incarnation: listed.incarnation } : entry
}
