/** The id of an open transaction. */

import type { Brand } from '../brand.ts'

/** Names a transaction that pins one connection of a slot. */
export type TransactionId = Brand<string, 'TransactionId'>
