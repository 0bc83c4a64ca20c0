/** Which hosts are compared with one that is not reached. */

import { expect, it } from 'vitest'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { HostId } from '../../id/host.ts'
import { sampleHosts } from './samplehosts.ts'

const hosts = (...ids: string[]) => ids.map(id => ({ id: id as HostId, dataCentre: 'z' as DataCentreId, address: { ip: '127.0.0.1', port: 1 }, linkPort: 2 }))

it.each<[string[], string[], number, number, string[]]>([
  [['a', 'b', 'c', 'd'], ['a', 'c'], 3, 0, ['b', 'd']],
  [['a', 'b', 'c', 'd'], ['a'], 2, 0.9, ['d', 'b']],
  [['a', 'b', 'c', 'd'], [], 2, 0.999, ['d', 'b']],
  [['a1', 'a2', 'b1', 'b2', 'c1', 'c2'], [], 3, 0.2, ['a2', 'b2', 'c2']],
  [['a', 'b'], ['a', 'b'], 2, 0.5, []],
  [[], [], 2, 0.5, []]
])('of %j without %j, %i from %d: %j', (ids, except, count, chance, expected) => {
  expect(sampleHosts(hosts(...ids), new Set(except as HostId[]), count, chance).map(({ id }) => id)).toEqual(expected)
})
