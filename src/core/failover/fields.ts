/** What a failover monitor keeps between two events. */

import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { Term } from '../id/term.ts'
import type { Pace } from './pace.ts'
import type { Phase } from './phase.ts'
import type { Watch } from './watch.ts'

export interface MonitorFields {
  readonly watch: Watch
  /** The endpoint whose slot this monitor's process holds. */
  readonly own: EndpointId
  /** 0 for the monitor that goes first; others leave it time. */
  readonly rank: number
  readonly pace: Pace
  /** The highest term this monitor has asked votes for. */
  readonly proposed: Term
  readonly leaving: EndpointId | undefined
  /** Before this instant no planned hand-over begins. */
  readonly handAt: Instant
  /** Whether the last questions to all reached no majority: this process may be what is cut off. */
  readonly isAlone: boolean
  readonly phase: Phase
}
