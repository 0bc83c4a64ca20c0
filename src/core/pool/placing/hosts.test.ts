/** Which hosts count as alive. */

import { expect, it } from 'vitest'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import { Hosts } from './hosts.ts'

/** Rows as `id version@instant`. */
function alive (now: number, ...rows: string[]): string {
  return rows.reduce((sum, text) => {
    const [id, version, at] = text.split(/[ @]/) as [string, string, string]
    return sum.with({ id: id as HostId, dataCentre: 'z' as DataCentreId, address: { ip: '10.0.0.1', port: 1 }, knowledgePort: 2 }, Number(version), Number(at) as Instant)
  }, Hosts.empty).alive(100, now as Instant).map(({ id }) => id).join('')
}

it.each<[string, number, string[], string]>([
  ['nobody', 0, [], ''],
  ['seen lately', 99, ['a 1@0', 'b 2@50'], 'ab'],
  // A host died; its row stays, and every look shows it again.
  ['seen again unchanged', 100, ['a 1@0', 'a 1@50', 'b 2@50'], 'b'],
  ['renewed', 100, ['a 1@0', 'a 3@50'], 'a']
])('%s', (_, now, rows, expected) => expect(alive(now, ...rows)).toBe(expected))
