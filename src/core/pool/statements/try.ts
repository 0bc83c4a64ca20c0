/** One try of a statement at an endpoint, as it's told afterwards. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { Token } from '../../token.ts'

export interface Try {
  readonly endpoint: EndpointId
  readonly what: 'read' | 'write' | 'commit'
  /** Whether it ran inside of a caller's transaction, and whether that had written. */
  readonly isInTransaction: boolean
  readonly hasWritten: boolean
  /** Whether only an endpoint that led could run it. */
  readonly mustLead: boolean
  /** `done`, how it ended otherwise, or why no connection was had. */
  readonly ending: string
  /** The position that the endpoint's log had to hold. */
  readonly after: Token | undefined
  /** How far the endpoint's log reached by its answer. */
  readonly position: Token | undefined
  /** Milliseconds from the statement's arrival to the try, and that it took. */
  readonly startMs: number
  readonly ms: number
}
