/** A connection to an endpoint, whatever protocol it speaks. */

import type { SessionState } from '../../../core/session/sessionstate.ts'
import type { Answer } from '../../../core/statement/answer.ts'
import type { Command } from '../../../core/statement/command.ts'

interface Asked {
  /** Answers in the order of the commands; fewer than these when the connection ended before. */
  readonly answers: readonly Answer[]
  /** Why answers are missing; undefined when all came. */
  readonly lost: 'broken' | 'outOfTime' | undefined
}

/** Used by one borrower at a time. It ends itself when an answer isn't there in time, since later ones couldn't be told apart. */
export interface EndpointLink {
  /** What was set and prepared on it. */
  readonly values: SessionState
  readonly isOpen: boolean
  /** Whether its last answer left a transaction open. */
  readonly isInTransaction: boolean
  /** Sends the commands at once and in order. Resolves always. */
  ask (commands: readonly Command[], timeoutMs: number): Promise<Asked>
  close (): void
  /** Called once when it ends, by either side. */
  onEnd (listener: () => void): void
}
