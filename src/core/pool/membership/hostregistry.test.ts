/** Guards against routing to hosts that are gone, and against dropping live ones. */

import { describe, expect, it } from 'vitest'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import type { HostEntry } from './hostentry.ts'
import { HostRegistry } from './hostregistry.ts'
import { registryRow } from './registryrow.ts'

/** `a2` is host a in incarnation 2; `a2!` is leaving. */
function entry (text: string): HostEntry {
  return { id: text[0] as HostId, dataCentre: 'z' as DataCentreId, address: { ip: '10.0.0.1', port: 1 }, linkPort: 2, incarnation: Number(text[1]), isLeaving: text.endsWith('!') }
}

/** Rows as `WRITER@INSTANT: HOSTS`. */
function registryOf (...rows: string[]): HostRegistry {
  return rows.reduce((roll, row, i) => {
    const [, writer, at, hosts] = /^(\w+)@(\d+): ?(.*)$/.exec(row)!
    return roll.with(writer as HostId, hosts!.split(' ').filter(one => one !== '').map(entry), i + 1, Number(at) as Instant)
  }, HostRegistry.empty)
}

function alive (now: number, ...rows: string[]): string {
  return registryOf(...rows).alive(now as Instant).map(({ id }) => id).sort().join('')
}

it.each<[string, number, string[], string]>([
  ['all hosts in a row', 0, ['x@0: a1 b1'], 'ab'],
  ['hosts in any row', 0, ['x@0: a1', 'y@0: b1'], 'ab'],
  ['a row that is not renewed counts for a minute', 59_999, ['x@0: a1'], 'a'],
  ['a row that is not renewed expires', 60_000, ['x@0: a1'], ''],
  ['a renewed row still counts', 60_000, ['x@0: a1', 'x@20000: a1'], 'a'],
  ['a leaving host is not alive, even if another row lists it', 0, ['x@0: a1!', 'y@0: a1'], ''],
  ['a host is alive again in its next incarnation', 0, ['x@0: a1!', 'y@0: a2'], 'a'],
  ['an older incarnation is ignored', 0, ['x@0: a2', 'y@0: a1!'], 'a'],
  ['a host that its row no longer lists is not alive', 0, ['x@0: a1 b1', 'x@0: a1'], 'a']
])('%s', (_, now, rows, expected) => expect(alive(now, ...rows)).toBe(expected))

describe('of two readers with the same follower', () => {
  it.each<[string, string, string, number, boolean]>([
    ['the second does not list it', 'a1', 'y', 0, true],
    ['the first lists it', 'a1', 'v', 0, false],
    ['the second lists it once the row of the first is overdue', 'a1', 'y', 30_000, false],
    ['the second lists a newer incarnation', 'a2', 'y', 0, false],
    ['the second lists it as leaving', 'a1!', 'y', 0, false]
  ])('%s', (_, host, reader, now, expected) => {
    expect(registryOf('x@0: a1').isListedByOther(entry(host), reader as HostId, now as Instant)).toBe(expected)
  })
})

describe('a registry row', () => {
  const host: HostEntry = { id: 'a' as HostId, dataCentre: 'z' as DataCentreId, address: { ip: '10.0.0.1', port: 1 }, linkPort: 2, incarnation: 3, isLeaving: false }

  it.each<[string, HostEntry]>([['with a capacity', { ...host, capacity: 0.3 }], ['without', host]])('decodes to what was encoded, %s', (_, entry) => expect(registryRow.decode(registryRow.encode([entry]))).toEqual([entry]))

  it('from an earlier release has no capacity', () => expect(registryRow.decode('[["a","z","10.0.0.1",1,2,3,false]]')).toEqual([host]))
})
