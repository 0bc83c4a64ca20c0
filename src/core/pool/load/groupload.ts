/** What an owner tells the other owners of a group about its load. */

import type { GroupId } from '../../id/group.ts'
import type { HostId } from '../../id/host.ts'
import type { EndpointLoad } from './endpointload.ts'

export interface GroupLoad {
  readonly host: HostId
  readonly group: GroupId
  /** Grows with each report of one life of the host, so that one that was overtaken on its way is known. */
  readonly sequence: number
  readonly endpoints: readonly EndpointLoad[]
}
