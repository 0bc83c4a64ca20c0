/** The state that a failover monitor keeps between events. */

import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { Term } from '../id/term.ts'
import type { FailoverTimings } from './timings.ts'
import type { Phase } from './phase.ts'
import type { FailureDetector } from './failuredetector.ts'

export interface MonitorFields {
  readonly detector: FailureDetector
  /** The endpoint whose slot this process owns. */
  readonly ownEndpoint: EndpointId
  /** 0 for the owner whose monitor acts first; the others wait longer. */
  readonly rank: number
  readonly timings: FailoverTimings
  /** The highest term for which this monitor has asked for votes. */
  readonly proposedTerm: Term
  readonly leaving: EndpointId | undefined
  /** No planned handover begins before this instant. */
  readonly handoverNotBefore: Instant
  /** Whether the last survey reached no majority, so that this process itself may be cut off. */
  readonly isIsolated: boolean
  readonly phase: Phase
}
