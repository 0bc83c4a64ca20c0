/** Picks a few owners with many connections each for groups whose endpoints tell their places. */

import type { GroupId } from '../../id/group.ts'
import { interleave } from '../../interleave.ts'
import { weightOf } from '../../weight.ts'
import { hostCapacity } from './hostcapacity.ts'
import { rankHosts } from './rankhosts.ts'
import type { PoolHost } from './host.ts'
import { connectionBudget } from './connectionbudget.ts'

interface GroupSize {
  readonly id: GroupId
  /** Connections that one endpoint takes from all hosts. */
  readonly connections: number
  /** Statements that one endpoint works on at a time, */
  readonly places: number
  /** and all endpoints of the group together. */
  readonly totalPlaces: number
}

/**
 * An owner can use every place of an endpoint alone, since sessions don't spread evenly and other owners die, while as many connections again wait: for
 * callers inside transactions, and for answers on their way.
 */
const CONNECTIONS_PER_PLACE = 2
/** With one connection each, a transaction at one owner would keep its other sessions waiting while another owner's connection is unused. */
const MIN_CONNECTIONS_PER_OWNER = 2
/** A host owns at most so many times the groups that its part of all capacity would be: with less there are too few hosts to draw from, and groups move more often. */
const MAX_GROUPS_FACTOR = 2

/**
 * Guard against queues that stand apart: with many owners of few connections each, statements wait at one owner while places that another one's
 * connections would fill are idle, and each team finds its connections at an owner taken by others. So a group has an owner in each
 * data centre, and more only as its work needs more processors, as long as each keeps enough connections.
 *
 * Strong hosts go first, but none owns far more groups than its part of the capacity; one that has its groups is passed over by the rest, which
 * draw in the order of their ids. All hosts work this out from the same list alike. Those that see different lists differ in a group's owners by as many as the lists
 * differ, and by those that were passed over for them: a host that takes itself for an owner then opens connections from the half that is left free, and sessions
 * that are passed on to a host that doesn't are served there all the same, on its one connection.
 */
export function assignOwners (groups: readonly GroupSize[], hosts: readonly PoolHost[]): ReadonlyMap<GroupId, readonly PoolHost[]> {
  const mostGroups = maxGroupsByHost(groups, hosts)
  const owned = new Map<PoolHost, number>()
  const picked = new Map<GroupId, readonly PoolHost[]>()
  for (const group of [...groups].sort((a, b) => a.id < b.id ? -1 : 1)) {
    const isOpen = (host: PoolHost) => (owned.get(host) ?? 0) < mostGroups.get(host)!
    // Those that have their groups stand behind: without enough others, a host with too many groups goes before a group without owners.
    const order = [...rankAcrossDataCentres(group.id, hosts.filter(isOpen)), ...rankAcrossDataCentres(group.id, hosts.filter(host => !isOpen(host)))]
    const owners = pickOwners(group, minOwners(group, hosts), order, host => hostCapacity.coresOf(host) / mostGroups.get(host)!)
    for (const owner of owners) owned.set(owner, (owned.get(owner) ?? 0) + 1)
    picked.set(group.id, owners)
  }
  return picked
}

/** How many groups each host may own. */
function maxGroupsByHost (groups: readonly GroupSize[], hosts: readonly PoolHost[]): ReadonlyMap<PoolHost, number> {
  const total = hosts.reduce((sum, host) => sum + hostCapacity.coresOf(host), 0)
  const usual = total / Math.max(1, hosts.length)
  const owners = groups.reduce((sum, group) => sum + Math.max(minOwners(group, hosts), Math.min(maxOwners(group), Math.ceil(hostCapacity.coresForPlaces(group.totalPlaces) / usual))), 0)
  return new Map(hosts.map(host => [host, Math.max(1, Math.ceil(MAX_GROUPS_FACTOR * owners * hostCapacity.coresOf(host) / total))]))
}

/** One in each data centre, where the connections are enough. */
function minOwners ({ connections }: GroupSize, hosts: readonly PoolHost[]): number {
  const centres = new Set(hosts.map(({ dataCentre }) => dataCentre)).size
  return Math.max(1, Math.min(centres, Math.floor(connectionBudget(connections) / MIN_CONNECTIONS_PER_OWNER)))
}

function maxOwners ({ connections, places }: GroupSize): number {
  return Math.floor(connectionBudget(connections) / (CONNECTIONS_PER_PLACE * places))
}

/** The data centres in turn, beginning with another one from group to group. */
function rankAcrossDataCentres (group: GroupId, hosts: readonly PoolHost[]): readonly PoolHost[] {
  const order = rankHosts(group, hosts)
  const centres = [...new Set(hosts.map(({ dataCentre }) => dataCentre))].sort((a, b) => weightOf(`${group}/${b}`) - weightOf(`${group}/${a}`))
  return interleave(centres.map(centre => order.filter(({ dataCentre }) => dataCentre === centre)))
}

function pickOwners (group: GroupSize, least: number, order: readonly PoolHost[], coresOf: (host: PoolHost) => number): readonly PoolHost[] {
  const most = Math.max(least, maxOwners(group))
  const needed = hostCapacity.coresForPlaces(group.totalPlaces)
  const owners: PoolHost[] = []
  let cores = 0
  for (const host of order) {
    if (owners.length >= most || (owners.length >= least && cores >= needed)) break
    owners.push(host)
    cores += coresOf(host)
  }
  return owners
}
