/** Other hosts, as a process that starts may ask them. */

import type { PoolHost } from '../../../core/pool/placing/host.ts'
import type { Knowledge } from './knowledge.ts'

export interface Peers {
  /** What each of the hosts that answers knows; of those that the settings name when none is given. Resolves always, with nothing when none answers. */
  ask (hosts: readonly PoolHost[], signal: AbortSignal): Promise<readonly Knowledge[]>
}
