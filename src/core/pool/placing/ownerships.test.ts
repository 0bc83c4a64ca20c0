/** Few owners for each group: how many, which ones, and that all hosts agree on them. */

import { describe, expect, it } from 'vitest'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { GroupId } from '../../id/group.ts'
import type { HostId } from '../../id/host.ts'
import type { TeamId } from '../../id/team.ts'
import type { PoolHost } from './host.ts'
import { singleOwnerAffinity } from './singleowneraffinity.ts'
import { Ownership } from './ownership.ts'
import { Ownerships } from './ownerships.ts'

const WEAK = 0.3
const STRONG = 1.5

/** Hosts spread evenly over three data centres, the first ones of high capacity. */
function hosts (count: number, strong = 0, capacity: number | undefined = WEAK): PoolHost[] {
  return Array.from({ length: count }, (_, i) => ({ id: `h${i}` as HostId, dataCentre: `z${i % 3}` as DataCentreId, address: { ip: '10.0.0.1', port: i + 1 }, linkPort: 1, capacity: i < strong ? STRONG : capacity }))
}

const ids = Array.from({ length: 6 }, (_, i) => `g${i}` as GroupId)

function groups (connections: number, places: number) {
  return ids.map(id => ({ id, connections, places: { perEndpoint: places, total: 3 * places } }))
}

function ownersOf (all: readonly PoolHost[], connections = 63, places = 5): string[] {
  const ownerships = Ownerships.of(groups(connections, places), all, true, singleOwnerAffinity)
  return ids.flatMap(id => ownerships.get(id)!.owners.map(owner => `${id}/${owner.id}`))
}

const hostOf = (owner: string) => owner.split('/')[1]!

describe('owners of a group whose places are known', () => {
  it.each<[string, number, number, number, number, number, number]>([
    ['one in each data centre', 82, 63, 5, WEAK, 3, 10],
    ['few places', 64, 22, 2, WEAK, 3, 3],
    ['more where hosts are weak', 195, 58, 2, 0.05, 7, 4],
    ['no more than keep enough connections', 82, 63, 5, 0.01, 3, 10],
    ['fewer than data centres where connections are scarce', 20, 8, 2, WEAK, 2, 2]
  ])('%s', (_, count, connections, places, capacity, owners, share) => {
    const ownership = Ownerships.of(groups(connections, places), hosts(count, 0, capacity), true, singleOwnerAffinity).get(ids[0]!)!
    expect([ownership.owners.length, ownership.connectionsPerOwner, ownership.hasSpareConnections]).toEqual([owners, share, true])
    expect(2 * owners * share).toBeLessThanOrEqual(connections)
    expect(new Set(ownership.owners.map(({ dataCentre }) => dataCentre)).size).toBe(Math.min(3, owners))
  })

  it.each<[string, PoolHost[], number]>([
    ['places aren\'t reported', hosts(82), 0],
    ['no host tells its capacity', hosts(82).map(({ capacity, ...host }) => host), 5],
    ['every host owns the group', hosts(7), 5]
  ])('are chosen by hash alone where %s', (_, all, places) => {
    const plain = Ownership.of(ids[0]!, all, 63, true)
    const ownership = Ownerships.of(groups(63, places), all, true, singleOwnerAffinity).get(ids[0]!)!
    expect([ownership.owners, ownership.connectionsPerOwner, ownership.hasSpareConnections, ownership.failoverOrder]).toEqual([plain.owners, plain.connectionsPerOwner, plain.hasSpareConnections, plain.failoverOrder])
  })

  it('are strong hosts first, but none owns far more groups than its share of the capacity', () => {
    const all = hosts(82, 6)
    const owned = ownersOf(all).map(hostOf)
    const countOf = ({ id }: PoolHost) => owned.filter(owner => owner === id).length
    // 18 owners are needed; a strong host has a thirtieth of the capacity, a weak one a hundred and sixtieth.
    expect(Math.max(...all.slice(0, 6).map(countOf))).toBeLessThanOrEqual(2)
    expect(Math.max(...all.slice(6).map(countOf))).toBe(1)
    expect(all.slice(0, 6).reduce((sum, host) => sum + countOf(host), 0)).toBeGreaterThan(6)
  })

  it('are the same whatever the order of the hosts', () => {
    const all = hosts(82, 6)
    expect(ownersOf([...all].reverse())).toEqual(ownersOf(all))
  })

  it.each([82, 300])('hardly change when one of %d hosts joins or leaves', count => {
    const all = hosts(count, 6)
    const before = new Set(ownersOf(all))
    const moved = all.map(({ id }) => {
      const after = new Set(ownersOf(all.filter(host => host.id !== id)))
      return [...before].filter(owner => hostOf(owner) !== id && !after.has(owner)).length
    })
    expect(Math.max(...moved)).toBeLessThanOrEqual(4)
    expect(moved.reduce((sum, one) => sum + one, 0) / count).toBeLessThan(0.25)
  })

  // All hosts must agree on the owners that remain when one with many groups dies, and those must be able to use all places.
  it('when one is killed, every host agrees on its successors, and the remaining owners can use all places', () => {
    const all = hosts(82, 6)
    const left = all.slice(1)
    const ownerships = Ownerships.of(groups(63, 5), left, true, singleOwnerAffinity)
    for (const id of ids) {
      expect(ownerships.get(id)!.owners.length).toBe(3)
      expect(ownerships.get(id)!.connectionsPerOwner).toBeGreaterThanOrEqual(2 * 5)
      expect(new Set(left.map(host => ownerships.get(id)!.forwardingTargets(host, { id: 't' as TeamId, share: 0.01 })[0]?.id ?? host.id)).size).toBe(1)
    }
  })

  // Each half of a network partition picks its own owners; both halves together must not exceed an endpoint's connections.
  it('of two halves of a partition have enough connections together', () => {
    const all = hosts(82, 6)
    const halves = [all.filter((_, i) => i % 2 === 0), all.filter((_, i) => i % 2 === 1)].map(half => Ownerships.of(groups(63, 5), half, true, singleOwnerAffinity).get(ids[0]!)!)
    expect(halves.reduce((sum, { owners, connectionsPerOwner: share }) => sum + owners.length * share, 0)).toBeLessThanOrEqual(63)
  })
})

describe('sessions of a team', () => {
  const all = hosts(82, 6)
  const ownership = Ownerships.of(groups(63, 5), all, true, singleOwnerAffinity).get(ids[0]!)!
  const ownersUsedBy = (share: number) => new Set(all.map(host => ownership.forwardingTargets(host, { id: 't1' as TeamId, share })[0]?.id ?? host.id))

  it.each([[0.01, 1], [0.16, 1], [0.2, 3], [0.6, 3]])('with a share of %d use %d owners', (share, owners) => expect(ownersUsedBy(share).size).toBe(owners))

  it('of a large team stay in their data centre', () => {
    for (const host of all) expect(ownership.forwardingTargets(host, { id: 't1' as TeamId, share: 0.5 })[0]?.dataCentre ?? host.dataCentre).toBe(host.dataCentre)
  })

  it('of many teams are spread over all owners', () => {
    const counts = new Map<string, number>()
    for (let i = 0; i < 90; i++) {
      const [owner] = ownership.forwardingTargets(all[81]!, { id: `t${i}` as TeamId, share: 0.01 })
      counts.set(owner!.id, (counts.get(owner!.id) ?? 0) + 1)
    }
    expect(Math.min(...counts.values())).toBeGreaterThan(15)
  })
})
