/** Who owns a group's connections, and where the other hosts forward sessions. */

import { describe, expect, it } from 'vitest'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { GroupId } from '../../id/group.ts'
import type { HostId } from '../../id/host.ts'
import type { TeamId } from '../../id/team.ts'
import type { PoolHost } from './host.ts'
import { Ownership } from './ownership.ts'

/** Hosts spread evenly over three data centres. */
function hosts (count: number): PoolHost[] {
  return Array.from({ length: count }, (_, i) => ({ id: `h${i}` as HostId, dataCentre: `z${i % 3}` as DataCentreId, address: { ip: '10.0.0.1', port: i + 1 }, linkPort: 1 }))
}

function owners (count: number, connections: number, group = 'g'): Ownership {
  return Ownership.of(group as GroupId, hosts(count), connections)
}

describe('the owners of a group', () => {
  it.each([[7, 16, 7, 2], [7, 30, 7, 4], [8, 16, 8, 1], [9, 16, 4, 2], [14, 16, 4, 2], [64, 22, 5, 2], [88, 40, 10, 2], [66, 98, 24, 2], [49, 98, 49, 1], [3, 1, 1, 1], [1, 16, 1, 14]])('%d hosts, %d connections: %d owners with %d each', (count, connections, expected, share) => {
    const ownership = owners(count, connections)
    expect(ownership.owners.length).toBe(expected)
    expect(ownership.connectionsPerOwner).toBe(share)
    expect(expected * share).toBeLessThanOrEqual(Math.max(1, connections))
  })

  // Owners must fit beside the dead connections that endpoints still count after a power loss of all hosts; else the new ones are refused and retried.
  it.each([[9, 16], [88, 40], [64, 22], [66, 98], [195, 58]])('%d hosts, %d connections: assigned owners fit beside as many dead connections', (count, connections) => {
    const { owners: assigned, connectionsPerOwner, hasSpareConnections } = owners(count, connections)
    expect(hasSpareConnections).toBe(true)
    expect(2 * assigned.length * connectionsPerOwner).toBeLessThanOrEqual(connections)
  })

  // Only owners notice that a primary is dead, so any other host that acts first delays the failover.
  it.each([[7, 16], [64, 22], [195, 58]])('%d hosts, %d connections: owners come first in the failover order', (count, connections) => {
    const { owners: assigned, failoverOrder } = owners(count, connections)
    expect(new Set(failoverOrder.slice(0, assigned.length))).toEqual(new Set(assigned.map(({ id }) => id)))
    expect([failoverOrder.length, new Set(failoverOrder).size]).toEqual([count, count])
  })

  it('are in all data centres', () => expect(new Set(owners(64, 22).owners.map(({ dataCentre }) => dataCentre)).size).toBe(3))

  it('differ from group to group', () => {
    const ids = (group: string) => owners(64, 22, group).owners.map(({ id }) => id).sort().join()
    expect(ids('g1')).not.toBe(ids('g2'))
  })

  it('hardly change when a host leaves', () => {
    const before = owners(64, 22).owners
    const after = Ownership.of('g' as GroupId, hosts(64).filter(({ id }) => id !== before[0]!.id), 22).owners
    expect(before.filter(({ id }) => after.some(owner => owner.id === id)).length).toBe(before.length - 1)
  })
})

describe('a host that isn\'t an owner', () => {
  it('forwards to its own data centre first, and different hosts to different owners', () => {
    const ownership = owners(64, 40)
    const others = hosts(64).filter(({ id }) => !ownership.isOwner(id))
    expect(others.every(host => ownership.forwardingTargets(host)[0]!.dataCentre === host.dataCentre)).toBe(true)
    expect(new Set(others.map(host => ownership.forwardingTargets(host)[0]!.id)).size).toBeGreaterThan(5)
  })

  it('doesn\'t exist where every host owns the group', () => expect(hosts(7).flatMap(host => owners(7, 16).forwardingTargets(host))).toEqual([]))
})

describe('a team\'s sessions', () => {
  const ownership = Ownership.of('g' as GroupId, hosts(84), 64, true)
  const part = (i: number, share: number) => ({ id: `t${i}` as TeamId, share })
  /** The owners that the hosts use: each host itself, or its first forwarding target. */
  const ownersOf = (team: ReturnType<typeof part>) => new Set(hosts(84).map(host => ownership.forwardingTargets(host, team)[0]?.id ?? host.id))

  it('of a small team use one owner in each data centre', () => {
    for (let i = 0; i < 20; i++) expect(ownersOf(part(i, 0.01)).size).toBe(3)
  })

  it('of a large team are spread over several', () => expect(ownersOf(part(1, 0.5)).size).toBeGreaterThan(6))

  it('of many teams are spread over all owners', () => {
    const used = new Set(Array.from({ length: 84 }, (_, i) => [...ownersOf(part(i, 0.01))]).flat())
    expect(used.size).toBe(ownership.owners.length)
  })

  it('have other owners as fallbacks, and never the host itself', () => {
    for (const host of hosts(84)) {
      const places = ownership.forwardingTargets(host, part(3, 0.01))
      expect(places.some(({ id }) => id === host.id)).toBe(false)
      expect(places.length === 0 || places.length >= ownership.owners.length - 1).toBe(true)
    }
  })

  it('aren\'t forwarded where every host owns the group', () => expect(hosts(7).flatMap(host => owners(7, 64).forwardingTargets(host, part(1, 0.1)))).toEqual([]))
})
