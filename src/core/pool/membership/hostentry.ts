/** A host's own entry for the host registry. */

import type { PoolHost } from '../placing/host.ts'

export interface HostEntry extends PoolHost {
  /** Grows with each start of the host, and when the host must override an entry of itself; the highest one wins. */
  readonly incarnation: number
  /** Whether the host is about to end and must not get new work. */
  readonly isLeaving: boolean
}
