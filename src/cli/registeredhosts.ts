/** The hosts of the host registry, each with its newest incarnation. Hosts that stopped long ago may be among them. */

import type { HostEntry } from '../core/pool/membership/hostentry.ts'
import { registryRow } from '../core/pool/membership/registryrow.ts'
import type { Row } from '../core/pool/membership/row.ts'

export function registeredHosts (roll: readonly Row[]): readonly HostEntry[] {
  const entries = roll.flatMap(({ value }) => value === undefined ? [] : registryRow.decode(value)).sort((a, b) => a.incarnation - b.incarnation)
  const newest = new Map(entries.map(entry => [entry.id, entry]))
  return [...newest.values()].sort((a, b) => a.id < b.id ? -1 : 1)
}
