/** Transport of load reports between the owners of a group. */

import type { LoadReport } from '../../../core/pool/load/loadreport.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'

export interface LoadTransport {
  /** Sets the listener for reports of other hosts. */
  onReport (listener: (report: LoadReport) => void): void
  /** Sends the report without confirmation of delivery. */
  send (hosts: readonly PoolHost[], report: LoadReport): void
}
