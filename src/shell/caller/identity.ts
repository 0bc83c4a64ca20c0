/** Who a caller's connection belongs to, and which database it uses. */

import type { Config } from '../../core/config/config.ts'
import type { SessionId } from '../../core/id/session.ts'

export interface Identity {
  readonly pool: Config['pools'][number]
  readonly group: Config['groups'][number]
  readonly caller: string
  readonly session: SessionId
  /** Whether the caller named the session, which may then use other connections and proxies too. */
  readonly isNamed: boolean
}
