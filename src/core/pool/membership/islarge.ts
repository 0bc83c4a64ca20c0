/** Whether an update is so large that sending it to many followers at once fills a link. */

import type { RowsMessage } from './rowsmessage.ts'

/** Compressed to a tenth, 32 shorter updates take 15 ms on a link of 7 Mbit/s. */
const LARGE_FROM_CHARACTERS = 4096

/** Only the configuration counts: other tables change by short rows, and leases and endpoints mustn't wait behind hosts that don't answer. */
export function isLarge ({ table, rows }: Pick<RowsMessage, 'table' | 'rows'>): boolean {
  return table === 'config' && rows.reduce((sum, { value }) => sum + (value?.length ?? 0), 0) >= LARGE_FROM_CHARACTERS
}
