/** How owners tell each other of their load. */

import type { Report } from '../../../core/pool/load/report.ts'
import type { PoolHost } from '../../../core/pool/placing/host.ts'

export interface LoadWay {
  /** Who is told what other hosts report. */
  onHeard (listener: (report: Report) => void): void
  /** Nothing tells whether it arrives. */
  tell (hosts: readonly PoolHost[], report: Report): void
}
