/** One request of a caller to a proxy of a run. */

import type { GroupId } from '../../src/core/id/group.ts'
import type { Instant } from '../../src/core/id/instant.ts'
import type { SessionId } from '../../src/core/id/session.ts'
import type { TransactionId } from '../../src/core/id/transaction.ts'
import type { Freshness } from '../../src/core/routing/freshness.ts'
import type { Statement } from './statement.ts'

export interface Request {
  readonly session: SessionId
  readonly group: GroupId
  readonly statement: Statement
  readonly freshness: Freshness
  /** On the clock of the proxy. */
  readonly deadline: Instant
  /** The open transaction; the proxy keeps its connection under this id. */
  readonly transaction?: TransactionId
}
