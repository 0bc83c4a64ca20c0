/** Which hosts are tried last. */

import { expect, it } from 'vitest'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import { UnreachableHosts } from './unreachablehosts.ts'

const hosts = ['a', 'b', 'c'].map(id => ({ id: id as HostId, dataCentre: 'z' as DataCentreId, address: { ip: '10.0.0.1', port: 1 }, linkPort: 1 }))
const missed = (...ids: string[]) => ids.reduce((known, id) => known.with(id as HostId, 0 as Instant), UnreachableHosts.none)

// Each sign-in takes a third of a second for as long as a dead host stays in the table.
it.each<[string, UnreachableHosts, number, string]>([
  ['none was missed', UnreachableHosts.none, 0, 'abc'],
  ['one was missed just now', missed('a'), 999, 'bca'],
  ['one was missed a while ago', missed('a'), 1000, 'abc'],
  ['all were missed', missed('a', 'b', 'c'), 10, 'abc']
])('when %s', (_, known, now, expected) => expect(known.last(hosts, now as Instant).map(({ id }) => id).join('')).toBe(expected))
