/** Applies rows from the store or from a source. */

import type { Instant } from '../../id/instant.ts'
import type { SyncAction } from './syncaction.ts'
import type { SyncState } from './syncstate.ts'
import type { SyncStep } from './syncstep.ts'
import { updateRanking } from './updateranking.ts'
import { registryRow } from './registryrow.ts'
import type { Row } from './row.ts'
import type { RowsMessage } from './rowsmessage.ts'
import { isLarge } from './islarge.ts'

/**
 * Changed rows are passed to this process and to its followers; large ones wait for their turn (see `planUpdates`). `state`: with the staleness
 * before the rows, which is what a follower that waits knows.
 */
export function applyRows (state: SyncState, { table, isWhole, rows, version }: Omit<RowsMessage, 'kind'>, now: Instant): SyncStep {
  const { tables, followers, staleness, updates } = state
  const before = tables[table]
  const { next, changedRows } = isWhole ? before.applySnapshot(rows, version) : before.applyChanges(rows, version)
  const isFirst = before.version === undefined
  const copy = table === 'config' && changedRows.length > 0 ? { ...state.copy, notBefore: now } : state.copy
  const applied = { ...state, tables: { ...tables, [table]: next }, copy }
  if (changedRows.length === 0 && !isFirst) return { state: applied, actions: [] }
  const isLargeUpdate = isLarge({ table, rows: changedRows })
  const message: RowsMessage = { kind: 'rows', table, isWhole: isFirst, rows: changedRows, version: next.version!, isToConfirm: isLargeUpdate || undefined }
  const held = followers.heldBack(table, isLargeUpdate, { version: before.version, asOf: staleness.asOf[table], since: now })
  const links = held.links.filter(link => held.progressOf(link, table).backlog === undefined)
  const changed = { ...applied, followers: held, updates: isLargeUpdate ? { ...updates, [table]: message } : updates }
  const actions: SyncAction[] = [{ kind: 'news', table, rows: changedRows, isFirst }, ...links.map(link => ({ kind: 'tell', link, message } as const))]
  if (table !== 'roll') return { state: changed, actions }
  const ranked = updateRanking({ ...changed, roll: updateRegistry(changed, changedRows, now) }, now)
  return { state: ranked.state, actions: [...actions, ...ranked.actions] }
}

function updateRegistry ({ roll }: SyncState, rows: readonly Row[], now: Instant): SyncState['roll'] {
  return rows.reduce((sum, { key, value, version }) => {
    const writer = registryRow.writerOf(key)
    if (writer === undefined) return sum
    return value === undefined ? sum.without(writer) : sum.with(writer, registryRow.decode(value), version, now)
  }, roll)
}
