/** What all executions on a slot share. */

import type { Position } from '../../core/id/position.ts'
import type { Term } from '../../core/id/term.ts'
import type { LedgerCleaner } from './ledgercleaner.ts'
import type { Slot } from './slot.ts'
import type { Transactions } from './transactions.ts'

export interface ExecutionContext {
  readonly slot: Slot
  readonly transactions: Transactions
  readonly cleaner: Pick<LedgerCleaner, 'cleanIfDue'>
  /** Resolves with whether a second server has received the position in the term within `ms`. */
  readonly confirm: (term: Term, position: Position, ms: number) => Promise<boolean>
  /** Resolves with whether this endpoint and a second server confirm, after the call, that it's still the primary. */
  readonly proveCurrent: (ms: number) => Promise<boolean>
  /** Called for a write of a session before it's acknowledged; see RecentWrites. */
  readonly wrote: (term: Term, position: Position, session: number) => void
}
