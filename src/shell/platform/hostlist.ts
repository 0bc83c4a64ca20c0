/** The platform's list of live and leaving hosts, which may lag behind. */

import type { DataCentreId } from '../../core/id/datacentre.ts'
import type { HostId } from '../../core/id/host.ts'

interface Host {
  readonly id: HostId
  /** `ip:port` at which the host accepts links from its peers. */
  readonly peers: string
  readonly dataCentre: DataCentreId
  readonly state: 'live' | 'leaving'
}

/** Rejects if the list is unavailable; keep using the previous list then. */
export interface HostList {
  hosts (): Promise<readonly Host[]>
}
