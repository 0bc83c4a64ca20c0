/** Other hosts, as a process that starts may ask them. */

import type { Knowledge } from './knowledge.ts'

export interface Peers {
  /** What each peer that answers knows; resolves always, with nothing when none answers. */
  ask (signal: AbortSignal): Promise<readonly Knowledge[]>
}
