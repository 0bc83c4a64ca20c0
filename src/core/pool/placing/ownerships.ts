/** Which hosts own which group. */

import type { GroupId } from '../../id/group.ts'
import { fewOwners } from './fewowners.ts'
import type { PoolHost } from './host.ts'
import { Ownership } from './ownership.ts'
import { pickedPart } from './pickedpart.ts'
import type { TeamMeeting } from './teammeeting.ts'

interface Group {
  readonly id: GroupId
  /** Connections that one endpoint takes from all hosts. */
  readonly connections: number
  /** Statements that one endpoint, and all endpoints together, work on at a time; 0 where endpoints don't tell. */
  readonly places: { readonly each: number, readonly all: number }
}

/** Immutable; worked out anew when hosts, the configuration or the places change. */
export class Ownerships {
  private constructor (private readonly byGroup: ReadonlyMap<GroupId, Ownership>) {}

  static readonly none = new Ownerships(new Map())

  /** Few owners are picked for groups whose endpoints tell their places, among hosts of which some tell their capacity. `isByTeam`: connections serve one team each; `meeting`: where a team's sessions meet if few owners are picked. */
  static of (groups: readonly Group[], hosts: readonly PoolHost[], isByTeam: boolean, meeting: TeamMeeting): Ownerships {
    const isCapacityKnown = hosts.some(({ capacity }) => capacity !== undefined)
    const scarce = isCapacityKnown ? groups.filter(({ connections }) => pickedPart(connections) < hosts.length) : []
    const few = fewOwners(scarce.flatMap(({ id, connections, places }) => places.each === 0 ? [] : [{ id, connections, places: places.each, allPlaces: places.all }]), hosts)
    return new Ownerships(new Map(groups.map(({ id, connections }) => {
      const owners = few.get(id)
      return [id, owners === undefined ? Ownership.of(id, hosts, connections, isByTeam) : Ownership.picked(id, hosts, connections, owners, meeting)]
    })))
  }

  get (group: GroupId): Ownership | undefined {
    return this.byGroup.get(group)
  }
}
