/** Handles the commands of one MySQL client connection. */

import type { Reply } from './reply.ts'

/** Commands arrive one at a time: the next one is passed on when the promise of the previous one has settled. */
export interface CommandHandler {
  /** Whether a transaction is open. Read between two commands. */
  readonly isInTransaction?: boolean
  query (sql: string, reply: Reply): Promise<void>
  /** COM_INIT_DB and USE: selects the default database. */
  use (database: string, reply: Reply): Promise<void>
  prepare (sql: string, reply: Reply): Promise<void>
  /** COM_STMT_EXECUTE. `payload` starts after the command byte. */
  execute (payload: Buffer, reply: Reply): Promise<void>
  /** COM_RESET_CONNECTION: clears the session state. */
  reset (reply: Reply): Promise<void>
  /** COM_STMT_CLOSE, which has no reply. */
  closeStatement (statement: number): void
  /** Called once, when the client has disconnected. */
  closed (): void
}
