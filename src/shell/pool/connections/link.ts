/** A connection to an endpoint, independent of its protocol. */

import type { SessionState } from '../../../core/session/sessionstate.ts'
import type { Answer } from '../../../core/statement/answer.ts'
import type { Command } from '../../../core/statement/command.ts'

interface Asked {
  /** Answers in the order of the commands; fewer if the connection ended before. */
  readonly answers: readonly Answer[]
  /** Why answers are missing; undefined if all arrived. */
  readonly lost: 'broken' | 'outOfTime' | undefined
}

/** Used by one borrower at a time. It closes itself when an answer times out, since later answers couldn't be matched to their commands. */
export interface EndpointLink {
  /** Session values and prepared statements on the connection. */
  readonly values: SessionState
  readonly isOpen: boolean
  /** Whether its last answer left a transaction open. */
  readonly isInTransaction: boolean
  /** Sends the commands in order without waiting between them; never rejects. */
  ask (commands: readonly Command[], timeoutMs: number): Promise<Asked>
  close (): void
  /** Sets the listener, which is called once when either side ends the connection. */
  onEnd (listener: () => void): void
}
