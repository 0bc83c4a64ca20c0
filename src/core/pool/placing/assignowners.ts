/** Assigns a few owners with many connections each to groups whose endpoints report their places. */

import type { GroupId } from '../../id/group.ts'
import { interleave } from '../../interleave.ts'
import { weightOf } from '../../weight.ts'
import { hostCapacity } from './hostcapacity.ts'
import { rankHosts } from './rankhosts.ts'
import type { PoolHost } from './host.ts'
import { connectionBudget } from './connectionbudget.ts'

interface GroupSize {
  readonly id: GroupId
  /** Connections that one endpoint accepts from all hosts. */
  readonly connections: number
  /** Statements that one endpoint works on at a time. */
  readonly places: number
  /** Statements that all endpoints of the group work on at a time. */
  readonly totalPlaces: number
}

/**
 * An owner may use every place of an endpoint by itself, since sessions don't spread evenly and other owners may fail. As many connections again are held
 * by transactions between two statements and by answers on their way.
 */
const CONNECTIONS_PER_PLACE = 2
/** With a single connection, one transaction would block all other sessions of its owner. */
const MIN_CONNECTIONS_PER_OWNER = 2
/**
 * A host owns at most this many times the groups that its share of the total capacity would give it. A lower bound leaves too few candidates, and groups
 * move more often.
 */
const MAX_GROUPS_FACTOR = 2

/**
 * Returns the owners of each group, the best first.
 *
 * With many owners of few connections each, statements would queue at one owner while places that another owner's connections could use are idle. So a
 * group has one owner in each data centre, and more only as its work needs more cores, as long as each has enough connections.
 *
 * Hosts of high capacity come first, but none owns far more groups than its share of the total capacity: once a host has its maximum, the groups that
 * follow (in order of id) prefer other hosts. Every host computes the same result from the same list of hosts. Hosts with different lists may disagree
 * about a few owners: a host that considers itself an owner opens connections from the half that is kept free, and a session forwarded to a host that
 * doesn't is still served there, over its single connection.
 */
export function assignOwners (groups: readonly GroupSize[], hosts: readonly PoolHost[]): ReadonlyMap<GroupId, readonly PoolHost[]> {
  const maxGroups = maxGroupsByHost(groups, hosts)
  const groupCounts = new Map<PoolHost, number>()
  const ownersByGroup = new Map<GroupId, readonly PoolHost[]>()
  for (const group of [...groups].sort((a, b) => a.id < b.id ? -1 : 1)) {
    const hasCapacity = (host: PoolHost) => (groupCounts.get(host) ?? 0) < maxGroups.get(host)!
    // Hosts that have reached their maximum come last: too many groups on one host is better than a group without owners.
    const order = [...rankAcrossDataCentres(group.id, hosts.filter(hasCapacity)), ...rankAcrossDataCentres(group.id, hosts.filter(host => !hasCapacity(host)))]
    const owners = pickOwners(group, minOwners(group, hosts), order, host => hostCapacity.coresOf(host) / maxGroups.get(host)!)
    for (const owner of owners) groupCounts.set(owner, (groupCounts.get(owner) ?? 0) + 1)
    ownersByGroup.set(group.id, owners)
  }
  return ownersByGroup
}

/** How many groups each host may own. */
function maxGroupsByHost (groups: readonly GroupSize[], hosts: readonly PoolHost[]): ReadonlyMap<PoolHost, number> {
  const total = hosts.reduce((sum, host) => sum + hostCapacity.coresOf(host), 0)
  const meanCores = total / Math.max(1, hosts.length)
  const owners = groups.reduce((sum, group) => sum + Math.max(minOwners(group, hosts), Math.min(maxOwners(group), Math.ceil(hostCapacity.coresForPlaces(group.totalPlaces) / meanCores))), 0)
  return new Map(hosts.map(host => [host, Math.max(1, Math.ceil(MAX_GROUPS_FACTOR * owners * hostCapacity.coresOf(host) / total))]))
}

/** One in each data centre, if there are enough connections. */
function minOwners ({ connections }: GroupSize, hosts: readonly PoolHost[]): number {
  const centres = new Set(hosts.map(({ dataCentre }) => dataCentre)).size
  return Math.max(1, Math.min(centres, Math.floor(connectionBudget(connections) / MIN_CONNECTIONS_PER_OWNER)))
}

function maxOwners ({ connections, places }: GroupSize): number {
  return Math.floor(connectionBudget(connections) / (CONNECTIONS_PER_PLACE * places))
}

/** Alternates between data centres; the first one differs from group to group. */
function rankAcrossDataCentres (group: GroupId, hosts: readonly PoolHost[]): readonly PoolHost[] {
  const order = rankHosts(group, hosts)
  const centres = [...new Set(hosts.map(({ dataCentre }) => dataCentre))].sort((a, b) => weightOf(`${group}/${b}`) - weightOf(`${group}/${a}`))
  return interleave(centres.map(centre => order.filter(({ dataCentre }) => dataCentre === centre)))
}

function pickOwners (group: GroupSize, minCount: number, order: readonly PoolHost[], coresOf: (host: PoolHost) => number): readonly PoolHost[] {
  const most = Math.max(minCount, maxOwners(group))
  const needed = hostCapacity.coresForPlaces(group.totalPlaces)
  const owners: PoolHost[] = []
  let cores = 0
  for (const host of order) {
    if (owners.length >= most || (owners.length >= minCount && cores >= needed)) break
    owners.push(host)
    cores += coresOf(host)
  }
  return owners
}
