/** The load of the other owners of a group at its endpoints, as far as their reports are valid. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { Instant } from '../../id/instant.ts'

interface OthersEndpointLoad {
  /** Owners with a valid report. */
  readonly owners: number
  /** Statements and connection openings that these have at the endpoint. */
  readonly atWork: number
  /** Those that wait on these owners for a place there. */
  readonly waiting: number
  /** Mean of their response times, in milliseconds; undefined if none of them knows. */
  readonly answerMs: number | undefined
  /** Mean of the failure rates that they see; 0 if none of them knows. */
  readonly failing: number
}

export interface OthersLoad {
  at (endpoint: EndpointId, now: Instant): OthersEndpointLoad
}
