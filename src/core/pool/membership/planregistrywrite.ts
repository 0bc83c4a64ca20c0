/** Whether this host is to write its row of the roll now, and what. */

import type { Instant } from '../../id/instant.ts'
import type { SyncAction } from './syncaction.ts'
import type { SyncState } from './syncstate.ts'
import type { HostEntry } from './hostentry.ts'
import { linkOf } from './linkof.ts'
import { HostRegistry } from './hostregistry.ts'
import { registryRow } from './registryrow.ts'

type WriteAction = Extract<SyncAction, { kind: 'write' }>

/**
 * That a host leaves is told only after so long: one that is started again is back by then, and with each host that leaves and comes back the
 * connections to endpoints would be dealt anew, twice.
 */
const LEAVING_DELAY_MS = 5000

/** A host that others hear, or that hears nobody itself, writes whom it hears, as far as no other row does. */
export function planRegistryWrite (state: SyncState, isReader: boolean, now: Instant): WriteAction | undefined {
  const { row, roll, self, followers, startedAt, sourceAt: coveredAt, pace, tables, links } = state
  if (tables.roll.version === undefined) return undefined
  const isAlone = now - Math.max(coveredAt, startedAt) > pace.silenceTimeoutMs
  if (!isReader && !isAlone) return undefined
  // Those that this host hears from tell that it leaves; without any it does so itself.
  const own = { ...self, isLeaving: self.isLeaving && links.open.length === 0 }
  const others = followers.heard(now).filter(({ entry }) => entry.id !== self.id).map(({ entry, heardAt }) => ({ ...entry, isLeaving: entry.isLeaving && now - heardAt >= LEAVING_DELAY_MS }))
  const said = roll.entries(now)
  const heard = [own, ...others].map(entry => keepListedIncarnation(entry, said.get(entry.id)))
  const named = heard.filter(entry => !roll.isListedByOther(entry, self.id, now)).sort((a, b) => a.id < b.id ? -1 : 1)
  const value = registryRow.encode(named)
  const isDue = value !== row.value || now - row.at >= HostRegistry.renewalMs
  if (named.length === 0 || !isDue) return undefined
  return { kind: 'write', value, deletedKeys: roll.expiredWriters(now).filter(id => id !== self.id).map(registryRow.keyOf) }
}

/** Nothing new is said of a host that was started again and is as it was. */
function keepListedIncarnation (entry: HostEntry, said: HostEntry | undefined): HostEntry {
  const isSame = said !== undefined && !said.isLeaving && !entry.isLeaving && linkOf(said) === linkOf(entry) && said.address.port === entry.address.port && said.dataCentre === entry.dataCentre && said.capacity === entry.capacity
  return isSame ? { ...entry, incarnation: said.incarnation } : entry
}
