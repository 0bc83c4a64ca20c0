/** Hosts that couldn't be reached lately. */

import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import type { PoolHost } from './host.ts'

/** A host that is started again takes sessions after about a second; one that was missed wrongly is back as soon. */
const EXPIRY_MS = 1000

/**
 * Guard against sign-ins that each wait out the same dead host: it stays in the
 * table of hosts for up to a minute. One that was missed is tried after all others. Immutable.
 */
export class UnreachableHosts {
  private constructor (private readonly failedAt: ReadonlyMap<HostId, Instant>) {}

  static readonly none = new UnreachableHosts(new Map())

  with (id: HostId, now: Instant): UnreachableHosts {
    const kept = [...this.failedAt].filter(([, at]) => now - at < EXPIRY_MS)
    return new UnreachableHosts(new Map([...kept, [id, now]]))
  }

  /** The same hosts, those that were missed lately last. */
  last (hosts: readonly PoolHost[], now: Instant): readonly PoolHost[] {
    const isMissed = ({ id }: PoolHost) => now - (this.failedAt.get(id) ?? -Infinity) < EXPIRY_MS
    return [...hosts.filter(host => !isMissed(host)), ...hosts.filter(isMissed)]
  }
}
