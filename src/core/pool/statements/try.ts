/** Record of one try of a statement at an endpoint. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { Token } from '../../token.ts'

export interface Try {
  readonly endpoint: EndpointId
  readonly what: 'read' | 'write' | 'commit'
  /** Whether it ran in a caller's transaction. */
  readonly isInTransaction: boolean
  /** Whether that transaction had sent a write. */
  readonly hasWritten: boolean
  /** Whether only the primary could run it. */
  readonly mustLead: boolean
  /** `done`, how it ended otherwise, or why there was no connection. */
  readonly ending: string
  /** The position that the endpoint's log had to include; undefined without one. */
  readonly after: Token | undefined
  /** The endpoint's log position as of its answer; undefined without one. */
  readonly position: Token | undefined
  /** Milliseconds from the statement's arrival to the start of the try. */
  readonly startMs: number
  /** Duration of the try in milliseconds. */
  readonly ms: number
}
