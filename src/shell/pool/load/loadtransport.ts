/** How owners tell each other of their load. */

import type { LoadReport } from '../../../core/pool/load/loadreport.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'

export interface LoadTransport {
  /** Who is told what other hosts report. */
  onReport (listener: (report: LoadReport) => void): void
  /** Nothing tells whether it arrives. */
  send (hosts: readonly PoolHost[], report: LoadReport): void
}
