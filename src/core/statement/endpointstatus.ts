/** The status that an endpoint reports. */

import type { Token } from '../token.ts'

export interface EndpointStatus {
  readonly isPrimary: boolean
  readonly term: number
  /** The end of its log, from which it would lead if it were promoted. */
  readonly received: Token
}
