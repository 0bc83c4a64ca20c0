/** What the other owners of a group have at its endpoints, as far as their reports are young enough to count. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { Instant } from '../../id/instant.ts'

interface OthersEndpointLoad {
  /** Owners whose reports count. */
  readonly owners: number
  /** Statements and openings that these have at the endpoint. */
  readonly atWork: number
  /** Those that wait with these for a place there. */
  readonly waiting: number
  /** The mean over these of the time to an answer, in milliseconds; undefined when none of them knows. */
  readonly answerMs: number | undefined
  /** The mean over these of the part that the endpoint fails; 0 when none of them knows. */
  readonly failing: number
}

export interface OthersLoad {
  at (endpoint: EndpointId, now: Instant): OthersEndpointLoad
}
