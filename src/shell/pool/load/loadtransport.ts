/** How owners tell each other of their load. */

import type { Report } from '../../../core/pool/load/report.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'

export interface LoadTransport {
  /** Who is told what other hosts report. */
  onReport (listener: (report: Report) => void): void
  /** Nothing tells whether it arrives. */
  send (hosts: readonly PoolHost[], report: Report): void
}
