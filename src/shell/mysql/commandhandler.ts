/** What a MySQL server does with the commands of one connection. */

import type { Reply } from './reply.ts'

/** Commands of one connection arrive one at a time: the next one when the promise of the last has settled. */
export interface CommandHandler {
  /** Whether a transaction is open between two commands. */
  readonly isInTransaction?: boolean
  query (sql: string, reply: Reply): Promise<void>
  /** COM_INIT_DB and USE. */
  use (database: string, reply: Reply): Promise<void>
  prepare (sql: string, reply: Reply): Promise<void>
  /** `payload` starts after the command's byte. */
  execute (payload: Buffer, reply: Reply): Promise<void>
  /** COM_RESET_CONNECTION. */
  reset (reply: Reply): Promise<void>
  /** COM_STMT_CLOSE, which has no answer. */
  closeStatement (statement: number): void
  /** The client is gone. Called once. */
  closed (): void
}
