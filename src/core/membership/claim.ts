/** A claim on one slot of an endpoint, as its row in the table service has it. */

import type { HostId } from '../id/host.ts'

export interface Claim {
  readonly index: number
  /** 0 while there is no row. */
  readonly revision: number
  /** Empty when the slot was released. */
  readonly host: HostId | ''
  readonly incarnation: string
}
