/** A host as described by its row in the shared table. */

import type { DataCentreId } from '../../id/datacentre.ts'
import type { HostId } from '../../id/host.ts'

export interface PoolHost {
  readonly id: HostId
  readonly dataCentre: DataCentreId
  /** Where it accepts sessions that other hosts forward. */
  readonly address: { readonly ip: string, readonly port: number }
  /** The port at which it accepts links from other hosts. */
  readonly linkPort: number
  /** Processor capacity in cores; undefined for a host that doesn't report it, such as one of an earlier version, which counts as one core. */
  readonly capacity?: number | undefined
}
