/** Hosts whose configuration went back. */

import type { Breach } from './breach.ts'
import type { Ledger } from './ledger.ts'
import { partOf } from './part.ts'

/** A host replaced or restarted under the same id counts as the same host. */
export function findReverted ({ history }: Ledger): readonly Breach[] {
  const newest = new Map<string, (typeof history.versions)[number]>()
  return [...history.versions].sort((a, b) => a.at - b.at).flatMap(seen => {
    const old = newest.get(seen.host)
    if (old === undefined || seen.version >= old.version) {
      newest.set(seen.host, seen)
      return []
    }
    return [{
      kind: 'configuration version gone back',
      part: partOf({ versions: [old, seen] }),
      verdict: `${seen.host} went from version ${old.version} back to ${seen.version}`
    } as const]
  })
}
