/** Picks hosts to compare another one with. */

import type { HostId } from '../../id/host.ts'
import type { PoolHost } from './host.ts'

/** At most `count` hosts without those in `except`, spread over the list, so that they aren't all in one data centre; `chance`: from 0 up to 1, where the first is taken. */
export function sampleHosts (hosts: readonly PoolHost[], except: ReadonlySet<HostId>, count: number, chance: number): readonly PoolHost[] {
  const others = hosts.filter(({ id }) => !except.has(id))
  const first = Math.floor(chance * others.length)
  const step = others.length / Math.min(count, others.length)
  return Array.from({ length: Math.min(count, others.length) }, (_, i) => others[(first + Math.floor(i * step)) % others.length]!)
}
