/** What an endpoint says of itself when it's asked. */

import type { Token } from '../token.ts'

export interface EndpointStatus {
  readonly isPrimary: boolean
  readonly term: number
  /** How far its log reaches; what it would lead with if it were promoted. */
  readonly received: Token
}
