/** A host as the platform's list shows it. */

import type { DataCentreId } from '../id/datacentre.ts'
import type { HostId } from '../id/host.ts'

export interface Host {
  readonly id: HostId
  /** `ip:port` at which other hosts reach it. */
  readonly peers: string
  readonly dataCentre: DataCentreId
  readonly state: 'live' | 'leaving'
}
