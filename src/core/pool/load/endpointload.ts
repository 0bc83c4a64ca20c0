/** What one owner has at one endpoint of its group. */

import type { EndpointId } from '../../id/endpoint.ts'

export interface EndpointLoad {
  readonly endpoint: EndpointId
  /** Statements and connection openings that it has at the endpoint now. */
  readonly atWork: number
  /** Those that wait on the owner for a place there. */
  readonly waiting: number
  /** Mean time from sending to the answer, in milliseconds; undefined if none came lately. */
  readonly answerMs: number | undefined
  /** Fraction of its recent statements that failed or ended without an answer, from 0 to 1. */
  readonly failing: number
}
