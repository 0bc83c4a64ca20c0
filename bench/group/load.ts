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
  readonly endMs: number
}
