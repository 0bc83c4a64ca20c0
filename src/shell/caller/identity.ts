/** The caller, pool, session and current database of a connection. */

import type { Config } from '../../core/config/config.ts'
import type { SessionId } from '../../core/id/session.ts'

export interface Identity {
  readonly pool: Config['pools'][number]
  readonly group: Config['groups'][number]
  readonly caller: string
  readonly session: SessionId
  /** Whether the caller named the session, which it may then use on other connections and proxies too. */
  readonly isNamed: boolean
}
