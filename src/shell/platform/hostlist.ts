/** The platform's lagging list of live and leaving hosts. */

import type { DataCentreId } from '../../core/id/datacentre.ts'
import type { HostId } from '../../core/id/host.ts'

interface Host {
  readonly id: HostId
  /** `ip:port` on which the host's peers reach it. */
  readonly peers: string
  readonly dataCentre: DataCentreId
  readonly state: 'live' | 'leaving'
}

/** Rejects when the list can't be had; callers then keep the last one. */
export interface HostList {
  hosts (): Promise<readonly Host[]>
}
