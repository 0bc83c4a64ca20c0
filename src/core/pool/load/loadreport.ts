/** A report of load, and the life of the host that made it. */

import type { GroupLoad } from './groupload.ts'

export interface LoadReport {
  /** Greater in each life of the host than in the one before, as far as its time of day wasn't set back. */
  readonly incarnation: number
  readonly load: GroupLoad
}
