/** The versions up to which a host knows the tables. */

import type { SyncState } from './syncstate.ts'
import type { TableName } from './tablename.ts'
import { tableNames } from './tablenames.ts'

/** Omits tables that aren't known yet. */
export function versionsOf ({ tables }: Pick<SyncState, 'tables'>): Readonly<Partial<Record<TableName, number>>> {
  return Object.fromEntries(tableNames.flatMap(name => {
    const { version } = tables[name]
    return version === undefined ? [] : [[name, version]]
  }))
}
