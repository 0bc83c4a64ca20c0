/** What an owner reports to the other owners of a group about its load. */

import type { GroupId } from '../../id/group.ts'
import type { HostId } from '../../id/host.ts'
import type { EndpointLoad } from './endpointload.ts'

export interface GroupLoad {
  readonly host: HostId
  readonly group: GroupId
  /** Increases with each report of one incarnation of the host, so that a report that was overtaken on its way is recognised. */
  readonly sequence: number
  readonly endpoints: readonly EndpointLoad[]
}
