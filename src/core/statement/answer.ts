/** The answer of an endpoint to one command. */

import type { Instant } from '../id/instant.ts'
import type { Token } from '../token.ts'
import type { Fault } from './fault.ts'
import type { EndpointStatus } from './endpointstatus.ts'

export interface Answer {
  /** The rows as they came, bytes kept as they are; empty without rows. */
  readonly rows: string
  /** The endpoint's proof that it ran the statement; undefined when it ended by a fault. */
  readonly proof: string | undefined
  readonly fault: Fault | undefined
  readonly text: string
  /** The connection's transaction after the answer. `failed`: only its end is still taken. */
  readonly transaction: 'none' | 'open' | 'failed'
  /** How far the endpoint's log reached. */
  readonly position: Token | undefined
  /** When the command was sent, on the clock that counts suspension. */
  readonly sentAt: Instant
  /** The endpoint's word on itself, where the command asks for it. */
  readonly status?: EndpointStatus
}
