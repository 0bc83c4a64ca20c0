/** Where slots are placed, and how few move when hosts change. */

import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { DataCentreId } from '../id/datacentre.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { HostId } from '../id/host.ts'
import { Placement } from './placement.ts'

const host = (n: number, dataCentres = 3): { id: HostId, dataCentre: DataCentreId } =>
  ({ id: `host-${n}` as HostId, dataCentre: `dc-${n % dataCentres}` as DataCentreId })
const hosts = (count: number): ReturnType<typeof host>[] => Array.from({ length: count }, (_, i) => host(i))
const endpoints = Array.from({ length: 300 }, (_, i) => `e-${i}` as EndpointId)
const dataCentreOf = (id: HostId): string => host(Number(id.slice(5))).dataCentre

describe('Placement', () => {
  it('puts the slots of an endpoint into different data centres', () => {
    const placement = Placement.empty.with(hosts(9))
    for (const endpoint of endpoints) {
      expect(new Set(placement.hosts(endpoint, 2).map(dataCentreOf)).size).toBe(2)
    }
  })

  it('moves only the slots of a host that goes', () => {
    const before = Placement.empty.with(hosts(9))
    const old = new Map(endpoints.map(one => [one, before.hosts(one, 2)]))
    const after = before.with(hosts(9).slice(1))
    for (const endpoint of endpoints) {
      const kept = old.get(endpoint)!.filter(id => id !== 'host-0')
      expect(after.hosts(endpoint, 2)).toEqual(expect.arrayContaining(kept))
    }
  })

  it('spreads the slots evenly', () => {
    const placement = Placement.empty.with(hosts(9))
    const counts = new Map<HostId, number>()
    for (const endpoint of endpoints) {
      for (const id of placement.hosts(endpoint, 2)) counts.set(id, (counts.get(id) ?? 0) + 1)
    }
    expect(Math.min(...counts.values())).toBeGreaterThan(40)
    expect(Math.max(...counts.values())).toBeLessThan(95)
  })

  // Guards against a cached placement that differs from that of a host that has just started: both would take a slot, or
  // neither.
  it('does not depend on earlier sets of hosts', () => {
    const set = fc.uniqueArray(fc.integer({ min: 0, max: 11 }), { maxLength: 8 })
    fc.assert(fc.property(fc.array(set, { minLength: 1, maxLength: 6 }), fc.integer({ min: 1, max: 3 }), (sets, slots) => {
      let placement = Placement.empty
      for (const one of sets) {
        placement = placement.with(one.map(n => host(n)))
        const fresh = Placement.empty.with(one.map(n => host(n)))
        for (const endpoint of endpoints.slice(0, 20)) {
          expect(placement.hosts(endpoint, slots)).toEqual(fresh.hosts(endpoint, slots))
        }
      }
    }), { seed: 7, numRuns: 200 })
  })
})
