/** A load and the faults that come with it. */

import type { Kind } from './kind.ts'

export interface Load {
  readonly name: string
  readonly hosts: number
  /** Connections that an endpoint takes. */
  readonly connections: number
  readonly kinds: readonly Kind[]
  /** How far replicas are behind at an instant, in milliseconds; infinite when none is reached. */
  readonly lagMs: (now: number) => number
  /** When all hosts lose their power, and for how long; milliseconds. */
  readonly outage?: { readonly at: number, readonly ms: number }
  /** How many times as long as usual the endpoint takes for a statement; undefined where none ever does. */
  readonly slowness?: (endpoint: number, now: number) => number
  /** Statements that an endpoint works on at a time, and that wait for a place there. */
  readonly places?: number
  readonly mostQueued?: number
  readonly endMs: number
}
