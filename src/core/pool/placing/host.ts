/** A host as its row in the shared table describes it. */

import type { DataCentreId } from '../../id/datacentre.ts'
import type { HostId } from '../../id/host.ts'

export interface PoolHost {
  readonly id: HostId
  readonly dataCentre: DataCentreId
  /** Where it takes sessions that other hosts pass on. */
  readonly address: { readonly ip: string, readonly port: number }
  /** The port at which it takes links of other hosts. */
  readonly linkPort: number
  /** What its processor is worth, in cores; undefined for a host that doesn't say, such as one of an earlier program, which counts as one core. */
  readonly capacity?: number | undefined
}
