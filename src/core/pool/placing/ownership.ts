/** Which hosts connect to the endpoints of a group, and where the others pass its sessions on. */

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

/** With one connection each, a transaction at one owner would keep its other sessions waiting while another owner's connection is unused. */
const MIN_CONNECTIONS_PER_OWNER = 2
/** Where connections serve one team each, an owner with more of them has one of the team's more often, and opens and closes fewer. */
const MIN_TEAM_CONNECTIONS_PER_OWNER = 4

/**
 * The owners of one group among the hosts that are alive. Immutable.
 *
 * With at least twice as many connections an endpoint as hosts every host owns the
 * group and connects by itself. With fewer, a part of the hosts owns it, each
 * with a few connections, picked by rendezvous hashing, so that a host that comes
 * or goes moves few sessions, and dealt over the data centres in turn, so that
 * most sessions find an owner in theirs.
 *
 * Guard against endpoints that are full of dead connections: they count those of a host that lost its power
 * for about three seconds more. After all hosts lost theirs, connections were turned away, opened again and again, and each opening
 * took a place from statements: with 66 owners of one connection each before endpoints that take 98, next to nothing was
 * served for ten seconds. So owners that are picked have half of the connections, and the living fit beside as many dead.
 */
export class Ownership {
  /** `share`: connections to an endpoint for each owner. `hasRoom`: whether the living fit beside as many dead. */
  private constructor (
    readonly owners: readonly PoolHost[],
    readonly connectionsPerOwner: number,
    readonly hasSpareConnections: boolean,
    /**
     * All hosts in the order in which they act for the group: owners first. Against writes that are refused for a second longer than needed: only owners find out that a
     * primary is dead, and with 195 hosts the first of 14 owners had some fifteen others before it, each with its turn of 50 ms.
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

  /** Of owners that are picked already, some of the hosts; they have half of the connections, in equal parts. */
  static withOwners (group: GroupId, hosts: readonly PoolHost[], connections: number, owners: readonly PoolHost[], affinity: TeamAffinity): Ownership {
    const owning = new Set(owners.map(({ id }) => id))
    const all = rankByWeight(group, hosts)
    const turns = [...all.filter(id => owning.has(id)), ...all.filter(id => !owning.has(id))]
    return new Ownership(owners, Math.max(1, Math.floor(connectionBudget(connections) / owners.length)), true, turns, affinity)
  }

  isOwner (host: HostId): boolean {
    return this.owners.some(({ id }) => id === host)
  }

  /** Where a host passes a team's session on, the best first; empty when it serves the session itself. */
  private teamForwardingTargets (host: PoolHost, team: TeamShare): readonly PoolHost[] {
    if (!this.hasSpareConnections) return []
    const weight = (owner: PoolHost) => weightOf(`${team.id}/${owner.id}`)
    const ranked = [...this.owners].sort((a, b) => weight(b) - weight(a))
    const { preferred: own, fallbacks: others } = this.affinity(host, team, ranked)
    if (own.some(owner => owner.id === host.id)) return []
    const fromHost = (owner: PoolHost) => weightOf(`${host.id}/${owner.id}`)
    const places = [...[...own].sort((a, b) => fromHost(b) - fromHost(a)), ...others]
    return places.filter(owner => owner.id !== host.id)
  }

  /** Where a host that isn't an owner passes a session on, the best first: its own data centre, then by a weight that spreads the hosts over the owners. */
  forwardingTargets (host: PoolHost, team?: TeamShare): readonly PoolHost[] {
    if (team !== undefined) return this.teamForwardingTargets(host, team)
    if (this.isOwner(host.id)) return []
    const weight = (owner: PoolHost) => weightOf(`${host.id}/${owner.id}`)
    const isFar = (owner: PoolHost) => owner.dataCentre === host.dataCentre ? 0 : 1
    return [...this.owners].sort((a, b) => isFar(a) - isFar(b) || weight(b) - weight(a))
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
