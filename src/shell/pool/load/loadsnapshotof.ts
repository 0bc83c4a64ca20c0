/** Collects this host's load at the endpoints of its groups, and the teams that recently sent statements. */

import type { HostId } from '../../../core/id/host.ts'
import { LoadSnapshot } from '../../../core/pool/load/loadsnapshot.ts'
import { clock } from '../clock.ts'
import type { PoolGroup } from '../group.ts'

/** Leaves out groups that this host neither owns nor had statements for; their owners report them. */
export function loadSnapshotOf (host: HostId, groups: Iterable<PoolGroup>): LoadSnapshot {
  const now = clock.now()
  return LoadSnapshot.of(host, [...groups].flatMap(group => {
    const { teams, rest } = group.usage.largest(LoadSnapshot.maxTeams, now)
    const { id, endpointStats, isOwned } = group
    if (!isOwned && teams.length === 0) return []
    return [{ group: id, owners: isOwned ? 1 : 0, classes: [...group.usage.classes(now)], teams: [...teams], rest, endpoints: [...endpointStats] }]
  }))
}
