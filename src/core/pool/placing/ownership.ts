/** Which hosts connect to the endpoints of a group, and where the other hosts forward its sessions. */

import type { GroupId } from '../../id/group.ts'
import type { HostId } from '../../id/host.ts'
import { interleave } from '../../interleave.ts'
import { weightOf } from '../../weight.ts'
import type { PoolHost } from './host.ts'
import { dataCentreAffinity } from './datacentreaffinity.ts'
import { connectionBudget } from './connectionbudget.ts'
import { connectionsPerOwner } from './connectionsperowner.ts'
import type { TeamAffinity } from './teamaffinity.ts'
import type { TeamShare } from './teamshare.ts'

/** With a single connection, one transaction would block all other sessions of its owner. */
const MIN_CONNECTIONS_PER_OWNER = 2
/** Where each connection serves one team, an owner with more connections reopens them less often for another team. */
const MIN_TEAM_CONNECTIONS_PER_OWNER = 4

/**
 * The owners of one group among the live hosts. Immutable.
 *
 * With at least twice as many connections per endpoint as hosts, every host owns the group and connects by itself. With fewer, some of the hosts own it,
 * with a few connections each. They are chosen by rendezvous hashing, so that a host that joins or leaves moves few sessions, alternating between data
 * centres, so that most sessions find an owner in their own.
 *
 * Endpoints still count the connections of a host that lost power for about three seconds. So assigned owners share only half of the connections: after a
 * power loss of all hosts the new connections fit beside the dead ones, instead of being refused and retried while each attempt occupies a place. With 66
 * owners of one connection each, and endpoints that take 98, next to nothing was served for ten seconds.
 */
export class Ownership {
  /** `connectionsPerOwner`: to each endpoint. `hasSpareConnections`: whether the owners' connections fit beside as many of dead hosts. */
  private constructor (
    readonly owners: readonly PoolHost[],
    readonly connectionsPerOwner: number,
    readonly hasSpareConnections: boolean,
    /**
     * All hosts in the order in which they may start a failover. Owners come first: only they notice that a primary is dead, and each host ahead of them
     * would delay the failover by its time slot of 50 ms: with 195 hosts the first of 14 owners had some fifteen others before it.
     */
    readonly failoverOrder: readonly HostId[],
    private readonly affinity: TeamAffinity
  ) {}

  static of (group: GroupId, hosts: readonly PoolHost[], connections: number, hasTeamConnections = false): Ownership {
    const half = connectionBudget(connections)
    if (half >= hosts.length) return new Ownership(hosts, connectionsPerOwner(connections, hosts.length), false, rankByWeight(group, hosts), dataCentreAffinity)
    const most = Math.max(1, Math.floor(half / (hasTeamConnections ? MIN_TEAM_CONNECTIONS_PER_OWNER : MIN_CONNECTIONS_PER_OWNER)))
    return Ownership.withOwners(group, hosts, connections, interleave(rankPerDataCentre(hosts, group)).slice(0, most), dataCentreAffinity)
  }

  /** With owners that were chosen before; they share half of the connections equally. */
  static withOwners (group: GroupId, hosts: readonly PoolHost[], connections: number, owners: readonly PoolHost[], affinity: TeamAffinity): Ownership {
    const ownerIds = new Set(owners.map(({ id }) => id))
    const all = rankByWeight(group, hosts)
    const failoverOrder = [...all.filter(id => ownerIds.has(id)), ...all.filter(id => !ownerIds.has(id))]
    return new Ownership(owners, Math.max(1, Math.floor(connectionBudget(connections) / owners.length)), true, failoverOrder, affinity)
  }

  isOwner (host: HostId): boolean {
    return this.owners.some(({ id }) => id === host)
  }

  /** Where a host forwards a session of the team, the best first; empty if the host serves the session itself. */
  private teamForwardingTargets (host: PoolHost, team: TeamShare): readonly PoolHost[] {
    if (!this.hasSpareConnections) return []
    const weight = (owner: PoolHost) => weightOf(`${team.id}/${owner.id}`)
    const ranked = [...this.owners].sort((a, b) => weight(b) - weight(a))
    const { preferred, fallbacks } = this.affinity(host, team, ranked)
    if (preferred.some(owner => owner.id === host.id)) return []
    const fromHost = (owner: PoolHost) => weightOf(`${host.id}/${owner.id}`)
    const places = [...[...preferred].sort((a, b) => fromHost(b) - fromHost(a)), ...fallbacks]
    return places.filter(owner => owner.id !== host.id)
  }

  /**
   * Where a host that isn't an owner forwards a session, the best first: owners in its data centre, then by a hash that spreads the hosts over the owners.
   */
  forwardingTargets (host: PoolHost, team?: TeamShare): readonly PoolHost[] {
    if (team !== undefined) return this.teamForwardingTargets(host, team)
    if (this.isOwner(host.id)) return []
    const weight = (owner: PoolHost) => weightOf(`${host.id}/${owner.id}`)
    const distance = (owner: PoolHost) => owner.dataCentre === host.dataCentre ? 0 : 1
    return [...this.owners].sort((a, b) => distance(a) - distance(b) || weight(b) - weight(a))
  }
}

function rankByWeight (group: GroupId, hosts: readonly PoolHost[]): readonly HostId[] {
  return [...hosts].map(({ id }) => ({ id, weight: weightOf(`${group}/${id}`) })).sort((a, b) => b.weight - a.weight).map(({ id }) => id)
}

function rankPerDataCentre (hosts: readonly PoolHost[], group: GroupId): readonly PoolHost[][] {
  const centres = new Map<string, PoolHost[]>()
  const weight = ({ id }: PoolHost) => weightOf(`${group}/${id}`)
  for (const host of [...hosts].sort((a, b) => weight(b) - weight(a))) {
    centres.set(host.dataCentre, [...centres.get(host.dataCentre) ?? [], host])
  }
  return [...centres.keys()].sort().map(id => centres.get(id)!)
}
