/** Which hosts count as alive. */

import { describe, expect, it } from 'vitest'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import type { HostEntry } from './hostentry.ts'
import { HostRegistry } from './hostregistry.ts'
import { registryRow } from './registryrow.ts'

/** `a2` is the host a in its incarnation 2; `a2!` leaves. */
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
  ['all that a row names', 0, ['x@0: a1 b1'], 'ab'],
  ['what any row names', 0, ['x@0: a1', 'y@0: b1'], 'ab'],
  ['a row that nobody renews counts for a minute', 59_999, ['x@0: a1'], 'a'],
  ['and then no more', 60_000, ['x@0: a1'], ''],
  ['a renewed one does', 60_000, ['x@0: a1', 'x@20000: a1'], 'a'],
  ['a host that leaves is out, though another row names it', 0, ['x@0: a1!', 'y@0: a1'], ''],
  ['its next life is in again', 0, ['x@0: a1!', 'y@0: a2'], 'a'],
  ['an older life says nothing', 0, ['x@0: a2', 'y@0: a1!'], 'a'],
  ['a row that names a host no more leaves it out', 0, ['x@0: a1 b1', 'x@0: a1'], 'a']
])('%s', (_, now, rows, expected) => expect(alive(now, ...rows)).toBe(expected))

describe('of two that hear the same host', () => {
  it.each<[string, string, string, number, boolean]>([
    ['the second leaves it to the first', 'a1', 'y', 0, true],
    ['the first does not leave it to the second', 'a1', 'v', 0, false],
    ['nor the second once the first renews its row no more', 'a1', 'y', 30_000, false],
    ['nor when it heard of a later life', 'a2', 'y', 0, false],
    ['nor when it heard that the host leaves', 'a1!', 'y', 0, false]
  ])('%s', (_, host, reader, now, expected) => {
    expect(registryOf('x@0: a1').isListedByOther(entry(host), reader as HostId, now as Instant)).toBe(expected)
  })
})

describe('a row of the roll', () => {
  const host: HostEntry = { id: 'a' as HostId, dataCentre: 'z' as DataCentreId, address: { ip: '10.0.0.1', port: 1 }, linkPort: 2, incarnation: 3, isLeaving: false }

  it.each<[string, HostEntry]>([['with a capacity', { ...host, capacity: 0.3 }], ['without', host]])('reads as it was written, %s', (_, entry) => expect(registryRow.decode(registryRow.encode([entry]))).toEqual([entry]))

  it('of an earlier program tells no capacity', () => expect(registryRow.decode('[["a","z","10.0.0.1",1,2,3,false]]')).toEqual([host]))
})
