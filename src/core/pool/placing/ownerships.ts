/** The owners of every group. */

import type { GroupId } from '../../id/group.ts'
import { assignOwners } from './assignowners.ts'
import type { PoolHost } from './host.ts'
import { Ownership } from './ownership.ts'
import { connectionBudget } from './connectionbudget.ts'
import type { TeamAffinity } from './teamaffinity.ts'

interface Group {
  readonly id: GroupId
  /** Connections that one endpoint accepts from all hosts. */
  readonly connections: number
  /** Statements that one endpoint, and all endpoints together, work on at a time; 0 where endpoints don't report it. */
  readonly places: { readonly perEndpoint: number, readonly total: number }
}

/** Immutable; recomputed when the hosts, the configuration or the places change. */
export class Ownerships {
  private constructor (private readonly byGroup: ReadonlyMap<GroupId, Ownership>) {}

  static readonly none = new Ownerships(new Map())

  /**
   * Uses `assignOwners` for groups whose endpoints report their places, if at least one host reports its capacity. `hasTeamConnections`: whether each
   * connection serves a single team. `affinity`: which of the assigned owners a team prefers.
   */
  static of (groups: readonly Group[], hosts: readonly PoolHost[], hasTeamConnections: boolean, affinity: TeamAffinity): Ownerships {
    const isCapacityKnown = hosts.some(({ capacity }) => capacity !== undefined)
    const scarce = isCapacityKnown ? groups.filter(({ connections }) => connectionBudget(connections) < hosts.length) : []
    const assigned = assignOwners(scarce.flatMap(({ id, connections, places }) => places.perEndpoint === 0 ? [] : [{ id, connections, places: places.perEndpoint, totalPlaces: places.total }]), hosts)
    return new Ownerships(new Map(groups.map(({ id, connections }) => {
      const owners = assigned.get(id)
      return [id, owners === undefined ? Ownership.of(id, hosts, connections, hasTeamConnections) : Ownership.withOwners(id, hosts, connections, owners, affinity)]
    })))
  }

  get (group: GroupId): Ownership | undefined {
    return this.byGroup.get(group)
  }
}
