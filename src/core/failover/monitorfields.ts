/** What a failover monitor keeps between two events. */

import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { Term } from '../id/term.ts'
import type { FailoverTimings } from './timings.ts'
import type { Phase } from './phase.ts'
import type { FailureDetector } from './failuredetector.ts'

export interface MonitorFields {
  readonly detector: FailureDetector
  /** The endpoint whose slot this monitor's process holds. */
  readonly ownEndpoint: EndpointId
  /** 0 for the monitor that goes first; others leave it time. */
  readonly rank: number
  readonly timings: FailoverTimings
  /** The highest term this monitor has asked votes for. */
  readonly proposedTerm: Term
  readonly leaving: EndpointId | undefined
  /** Before this instant no planned hand-over begins. */
  readonly handoverNotBefore: Instant
  /** Whether the last questions to all reached no majority: this process may be what is cut off. */
  readonly isIsolated: boolean
  readonly phase: Phase
}
