/** What a host says of itself to those that keep the roll of hosts. */

import type { PoolHost } from '../placing/host.ts'

export interface HostEntry extends PoolHost {
  /** Grows from one life of the host to the next, and when it must contradict what was said of it: the newest goes before all others. */
  readonly incarnation: number
  /** It ends soon, and is to get nothing new. */
  readonly isLeaving: boolean
}
