/** Takes in rows that somebody brought, the store or another host. */

import type { Instant } from '../../id/instant.ts'
import type { ControlAction } from './controlaction.ts'
import type { ControlState } from './controlstate.ts'
import type { ControlStep } from './controlstep.ts'
import { ranked } from './ranked.ts'
import { rollRow } from './rollrow.ts'
import type { Row } from './row.ts'
import type { Word } from './word.ts'

type Rows = Extract<Word, { kind: 'rows' }>

/** What is new goes to this process, and to those that follow it. */
export function learnt (state: ControlState, { table, isWhole, rows, version }: Omit<Rows, 'kind'>, now: Instant): ControlStep {
  const { tables, followers } = state
  const before = tables[table]
  const { next, news } = isWhole ? before.whole(rows, version) : before.changed(rows, version)
  const isFirst = before.version === undefined
  const copy = table === 'config' && news.length > 0 ? { ...state.copy, notBefore: now } : state.copy
  const changed = { ...state, tables: { ...tables, [table]: next }, copy }
  if (news.length === 0 && !isFirst) return { state: changed, actions: [] }
  const word: Rows = { kind: 'rows', table, isWhole: isFirst, rows: news, version: next.version! }
  const actions: ControlAction[] = [{ kind: 'news', table, rows: news, isFirst }, ...followers.links.map(link => ({ kind: 'tell', link, word } as const))]
  if (table !== 'roll') return { state: changed, actions }
  const enrolled = ranked({ ...changed, roll: enrol(changed, news, now) }, now)
  return { state: enrolled.state, actions: [...actions, ...enrolled.actions] }
}

function enrol ({ roll }: ControlState, rows: readonly Row[], now: Instant): ControlState['roll'] {
  return rows.reduce((sum, { key, value, version }) => {
    const writer = rollRow.writerOf(key)
    if (writer === undefined) return sum
    return value === undefined ? sum.without(writer) : sum.with(writer, rollRow.decode(value), version, now)
  }, roll)
}
