/** Takes in rows that somebody brought, the store or another host. */

import type { Instant } from '../../id/instant.ts'
import type { SyncAction } from './syncaction.ts'
import type { SyncState } from './syncstate.ts'
import type { SyncStep } from './syncstep.ts'
import { updateRanking } from './updateranking.ts'
import { registryRow } from './registryrow.ts'
import type { Row } from './row.ts'
import type { SyncMessage } from './syncmessage.ts'

type Rows = Extract<SyncMessage, { kind: 'rows' }>

/** What is new goes to this process, and to those that follow it. */
export function applyRows (state: SyncState, { table, isWhole, rows, version }: Omit<Rows, 'kind'>, now: Instant): SyncStep {
  const { tables, followers } = state
  const before = tables[table]
  const { next, changedRows: news } = isWhole ? before.applySnapshot(rows, version) : before.applyChanges(rows, version)
  const isFirst = before.version === undefined
  const copy = table === 'config' && news.length > 0 ? { ...state.copy, notBefore: now } : state.copy
  const changed = { ...state, tables: { ...tables, [table]: next }, copy }
  if (news.length === 0 && !isFirst) return { state: changed, actions: [] }
  const message: Rows = { kind: 'rows', table, isWhole: isFirst, rows: news, version: next.version! }
  const actions: SyncAction[] = [{ kind: 'news', table, rows: news, isFirst }, ...followers.links.map(link => ({ kind: 'tell', link, message } as const))]
  if (table !== 'roll') return { state: changed, actions }
  const enrolled = updateRanking({ ...changed, roll: updateRegistry(changed, news, now) }, now)
  return { state: enrolled.state, actions: [...actions, ...enrolled.actions] }
}

function updateRegistry ({ roll }: SyncState, rows: readonly Row[], now: Instant): SyncState['roll'] {
  return rows.reduce((sum, { key, value, version }) => {
    const writer = registryRow.writerOf(key)
    if (writer === undefined) return sum
    return value === undefined ? sum.without(writer) : sum.with(writer, registryRow.decode(value), version, now)
  }, roll)
}
