/** Placement of all slots at the size to design for: what a change of hosts costs a node, and how many links it keeps. */

import type { Config } from '../src/core/config/config.ts'
import type { HostId } from '../src/core/id/host.ts'
import { SlotAssignments } from '../src/core/membership/slotassignments.ts'
import type { Host } from '../src/core/membership/host.ts'
import { requiredPeers } from '../src/core/membership/requiredpeers.ts'
import type { Benchmark } from './benchmark.ts'

const HOSTS = 2000
const DATA_CENTRES = 8
const GROUPS = 4500
const CHANGES = 20

export const placement: Benchmark = {
  name: 'placement',
  bounds: [
    { figure: 'slots of the node', atMost: 60 },
    { figure: 'links of the node without callers', atMost: 300 },
    { figure: 'endpoints worked out again for a change', atMost: 100 }
  ],
  async run () {
    const hosts = Array.from({ length: HOSTS }, (_, i) => hostOf(i))
    const began = performance.now()
    const first = SlotAssignments.of('host-1' as HostId).withConfig(configOf()).withHosts(hosts, hosts)
    const firstMs = performance.now() - began
    let duties = first
    const changing = performance.now()
    for (let i = 0; i < CHANGES; i++) duties = duties.withHosts(without(hosts, i + 2), hosts)
    const changeMs = (performance.now() - changing) / CHANGES
    const moved = first.allEndpoints.filter(endpoint => !same(first.assignedHosts(endpoint), duties.assignedHosts(endpoint)))
    return {
      'slots of the node': first.endpoints.length,
      'links of the node without callers': requiredPeers({ assignments: first, held: first.endpoints, groups: [], holders: () => [] }).size,
      'endpoints worked out again for a change': moved.length,
      'first placement, ms': firstMs,
      'a change of hosts, ms': changeMs
    }
  }
}

function hostOf (i: number): Host {
  return { id: `host-${i}`, peers: '', dataCentre: `dc-${i % DATA_CENTRES}`, state: 'live' } as Host
}

function without (hosts: readonly Host[], i: number): readonly Host[] {
  return hosts.filter((_, other) => other !== i)
}

function same (a: readonly HostId[], b: readonly HostId[]): boolean {
  return a.length === b.length && a.every((id, i) => id === b[i])
}

function configOf (): Config {
  const groups = Array.from({ length: GROUPS }, (_, i) => ({
    id: `group-${i}`,
    database: `group-${i}`,
    endpoints: [1, 2, 3].map(j => ({ id: `group-${i}-${j}`, address: '', dataCentre: `dc-${j}` })),
    slotsPerEndpoint: 2,
    connectionsPerSlot: 16
  }))
  return { version: 1, groups, pools: [] } as unknown as Config
}
