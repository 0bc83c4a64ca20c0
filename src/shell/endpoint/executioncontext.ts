/** What runs on a slot share. */

import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { LedgerCleaner } from './ledgercleaner.ts'
import type { Slot } from './slot.ts'
import type { Transactions } from './transactions.ts'

export interface ExecutionContext {
  readonly slot: Slot
  readonly transactions: Transactions
  readonly cleaner: Pick<LedgerCleaner, 'used'>
  /** Whether a second server has received the position in the term. */
  readonly confirm: (term: Term, position: Position, ms: number) => Promise<boolean>
  /** Whether this endpoint is still the primary, proved after the call by it and a second server. */
  readonly proveCurrent: (ms: number) => Promise<boolean>
  /** Told of a write before it's acknowledged; see RecentWrites. */
  readonly wrote: (term: Term, position: Position, session: number) => void
}
