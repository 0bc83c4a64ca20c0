/** The message that brings a follower from a version of a table to the newest one. */

import { isLarge } from './islarge.ts'
import type { RowsMessage } from './rowsmessage.ts'
import type { SyncState } from './syncstate.ts'
import type { TableName } from './tablename.ts'

/** Undefined if the follower lacks nothing. `version`: undefined for a follower that doesn't know the table. */
export function rowsSince ({ tables, updates }: Pick<SyncState, 'tables' | 'updates'>, table: TableName, version: number | undefined): RowsMessage | undefined {
  const { version: newest, rows: all } = tables[table]
  const changes = version === undefined ? undefined : tables[table].since(version)
  if (newest === undefined || changes?.length === 0) return undefined
  const rows = changes ?? all
  const isWhole = changes === undefined
  const last = updates[table]
  // The same message object isn't encoded again.
  if (last !== undefined && last.isWhole === isWhole && last.rows.length === rows.length && rows.every((row, i) => row === last.rows[i])) return last
  return { kind: 'rows', table, isWhole, rows, version: newest, isToConfirm: isLarge({ table, rows }) || undefined }
}
