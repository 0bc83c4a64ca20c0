/** Who owns a group's connections, and where the others pass sessions on. */

import { describe, expect, it } from 'vitest'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { GroupId } from '../../id/group.ts'
import type { HostId } from '../../id/host.ts'
import type { PoolHost } from './host.ts'
import { Ownership } from './ownership.ts'

/** So many hosts, dealt over three data centres in turn. */
function hosts (count: number): PoolHost[] {
  return Array.from({ length: count }, (_, i) => ({ id: `h${i}` as HostId, dataCentre: `z${i % 3}` as DataCentreId, address: { ip: '10.0.0.1', port: i + 1 }, linkPort: 1 }))
}

function owners (count: number, connections: number, group = 'g'): Ownership {
  return Ownership.of(group as GroupId, hosts(count), connections)
}

describe('the owners of a group', () => {
  it.each([[7, 16, 7, 2], [7, 30, 7, 4], [8, 16, 8, 1], [9, 16, 4, 2], [14, 16, 4, 2], [64, 22, 5, 2], [88, 40, 10, 2], [66, 98, 24, 2], [49, 98, 49, 1], [3, 1, 1, 1], [1, 16, 1, 14]])('%d hosts, %d connections: %d owners with %d each', (count, connections, expected, share) => {
    const made = owners(count, connections)
    expect(made.owners.length).toBe(expected)
    expect(made.share).toBe(share)
    expect(expected * share).toBeLessThanOrEqual(Math.max(1, connections))
  })

  // All hosts lose their power and come back within a second; for ten seconds more hardly anything is served.
  // Endpoints count the dead connections for three seconds; the owners' new ones are turned away and tried again, and each try takes the endpoint's time.
  it.each([[9, 16], [88, 40], [64, 22], [66, 98], [195, 58]])('%d hosts, %d connections: picked owners have room beside as many dead', (count, connections) => {
    const { owners: picked, share, hasRoom } = owners(count, connections)
    expect(hasRoom).toBe(true)
    expect(2 * picked.length * share).toBeLessThanOrEqual(connections)
  })

  // Writes are refused for a second longer than needed after a primary's crash: hosts act in turn, and only owners know that it's dead.
  it.each([[7, 16], [64, 22], [195, 58]])('%d hosts, %d connections: act before all others', (count, connections) => {
    const { owners: picked, turns } = owners(count, connections)
    expect(new Set(turns.slice(0, picked.length))).toEqual(new Set(picked.map(({ id }) => id)))
    expect([turns.length, new Set(turns).size]).toEqual([count, count])
  })

  it('stand in all data centres', () => expect(new Set(owners(64, 22).owners.map(({ dataCentre }) => dataCentre)).size).toBe(3))

  it('differ from group to group', () => {
    const ids = (group: string) => owners(64, 22, group).owners.map(({ id }) => id).sort().join()
    expect(ids('g1')).not.toBe(ids('g2'))
  })

  it('hardly change when a host goes', () => {
    const before = owners(64, 22).owners
    const after = Ownership.of('g' as GroupId, hosts(64).filter(({ id }) => id !== before[0]!.id), 22).owners
    expect(before.filter(({ id }) => after.some(owner => owner.id === id)).length).toBe(before.length - 1)
  })
})

describe('a host that is no owner', () => {
  it('passes on to its own data centre first, and others to other owners', () => {
    const made = owners(64, 40)
    const others = hosts(64).filter(({ id }) => !made.isOwner(id))
    expect(others.every(host => made.placesFor(host)[0]!.dataCentre === host.dataCentre)).toBe(true)
    expect(new Set(others.map(host => made.placesFor(host)[0]!.id)).size).toBeGreaterThan(5)
  })

  it('is none where everybody owns the group', () => expect(hosts(7).flatMap(host => owners(7, 16).placesFor(host))).toEqual([]))
})
