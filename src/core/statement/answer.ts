/** An endpoint's answer to one command. */

import type { Instant } from '../id/instant.ts'
import type { Token } from '../token.ts'
import type { Fault } from './fault.ts'
import type { EndpointStatus } from './endpointstatus.ts'

export interface Answer {
  /** The rows, byte for byte as received; empty without rows. */
  readonly rows: string
  /** The endpoint's proof that it ran the statement; undefined if it ended with a fault. */
  readonly proof: string | undefined
  readonly fault: Fault | undefined
  readonly text: string
  /** The connection's transaction after the answer. `failed`: only its rollback is accepted. */
  readonly transaction: 'none' | 'open' | 'failed'
  /** The end of the endpoint's log. */
  readonly position: Token | undefined
  /** When the command was sent, by the clock that runs during suspension. */
  readonly sentAt: Instant
  /** The endpoint's status, if the command asks for it. */
  readonly status?: EndpointStatus
}
