/** A load report with the incarnation of the host that made it. */

import type { GroupLoad } from './groupload.ts'

export interface LoadReport {
  /** Greater in each incarnation of the host than in the one before, unless its time of day was set back. */
  readonly incarnation: number
  readonly load: GroupLoad
}
