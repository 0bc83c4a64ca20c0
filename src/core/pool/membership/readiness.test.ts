/** Guards against serving without a required table, and against waiting for one that isn't required. */

import { expect, it } from 'vitest'
import type { Instant } from '../../id/instant.ts'
import type { SyncState } from './syncstate.ts'
import { isReady } from './readiness.ts'
import { StoreQuery } from './storequery.ts'
import { ReplicatedTable } from './replicatedtable.ts'
import { tableNames } from './tablenames.ts'

type Known = Readonly<Partial<Record<typeof tableNames[number], boolean>>>

/** All tables were queried at 0, and the query for the configuration was answered at `tookMs`. */
function stateOf (known: Known, tookMs = 5, isAsked = true): Pick<SyncState, 'tables' | 'queries'> {
  const entries = <T>(of: (name: typeof tableNames[number]) => T) => Object.fromEntries(tableNames.map(name => [name, of(name)])) as Record<typeof tableNames[number], T>
  const asked = isAsked ? StoreQuery.none.sent(0 as Instant) : StoreQuery.none
  return {
    tables: entries(name => known[name] === true ? ReplicatedTable.empty.applySnapshot([], 1).next : ReplicatedTable.empty),
    queries: entries(name => name === 'config' && known.config === true ? StoreQuery.none.sent(0 as Instant).answered(tookMs as Instant) : asked)
  }
}

const REQUIRED: Known = { config: true, endpoints: true }

it.each<[string, ReturnType<typeof stateOf>, number, boolean]>([
  ['every table', stateOf({ ...REQUIRED, shared: true, roll: true }), 6, true],
  ['no table', stateOf({}), 10_000, false],
  ['no configuration', stateOf({ endpoints: true, shared: true, roll: true }), 10_000, false],
  ['no endpoints', stateOf({ config: true, shared: true, roll: true }), 10_000, false],
  ['the host registry slightly late', stateOf({ ...REQUIRED, shared: true }), 49, false],
  ['the host registry unanswered', stateOf({ ...REQUIRED, shared: true }), 51, true],
  ['the host registry as late as other tables of a slow store', stateOf({ ...REQUIRED, shared: true }, 240), 480, false],
  ['the host registry later than other tables of a slow store', stateOf({ ...REQUIRED, shared: true }, 240), 481, true],
  ['tables that a source is about to send', stateOf(REQUIRED, 5, false), 10_000, false]
])('%s', (_name, state, now, expected) => expect(isReady(state, now as Instant)).toBe(expected))
