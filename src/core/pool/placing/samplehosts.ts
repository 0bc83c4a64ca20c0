/** Picks hosts to compare another one with. */

import type { HostId } from '../../id/host.ts'
import type { PoolHost } from './host.ts'

/** At most `count` hosts without those in `except`; `chance`: from 0 up to 1, where in the list they are taken. */
export function sampleHosts (hosts: readonly PoolHost[], except: ReadonlySet<HostId>, count: number, chance: number): readonly PoolHost[] {
  const others = hosts.filter(({ id }) => !except.has(id))
  const first = Math.floor(chance * others.length)
  return [...others.slice(first), ...others.slice(0, first)].slice(0, count)
}
