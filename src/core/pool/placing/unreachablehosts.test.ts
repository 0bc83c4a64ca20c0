/** A dead host must not delay each new session while it is still in the table of hosts. */

import { expect, it } from 'vitest'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import { UnreachableHosts } from './unreachablehosts.ts'

const hosts = ['a', 'b', 'c'].map(id => ({ id: id as HostId, dataCentre: 'z' as DataCentreId, address: { ip: '10.0.0.1', port: 1 }, linkPort: 1 }))
const unreachable = (...ids: string[]) => ids.reduce((known, id) => known.with(id as HostId, 0 as Instant), UnreachableHosts.none)

it.each<[string, UnreachableHosts, number, string]>([
  ['no host was unreachable', UnreachableHosts.none, 0, 'abc'],
  ['one was unreachable just now', unreachable('a'), 999, 'bca'],
  ['one was unreachable a while ago', unreachable('a'), 1000, 'abc'],
  ['all were unreachable', unreachable('a', 'b', 'c'), 10, 'abc']
])('when %s', (_, known, now, expected) => expect(known.last(hosts, now as Instant).map(({ id }) => id).join('')).toBe(expected))
