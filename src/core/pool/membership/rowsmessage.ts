/** A message with rows of a table. */

import type { SyncMessage } from './syncmessage.ts'

export type RowsMessage = Extract<SyncMessage, { kind: 'rows' }>
