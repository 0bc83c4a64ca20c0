/** What one owner has at one endpoint of its group. */

import type { EndpointId } from '../../id/endpoint.ts'

export interface EndpointLoad {
  readonly endpoint: EndpointId
  /** Statements and openings that it has at the endpoint now. */
  readonly atWork: number
  /** Those that wait with it for a place there. */
  readonly waiting: number
  /** The mean time from sending to the answer, in milliseconds; undefined when none came lately. */
  readonly answerMs: number | undefined
  /** The part of what it asked lately that the endpoint failed, or ended without an answer; from 0 to 1. */
  readonly failing: number
}
