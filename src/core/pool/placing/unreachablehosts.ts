/** Hosts that couldn't be reached lately. */

import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import type { PoolHost } from './host.ts'

/** A restarted host accepts sessions after about a second, and a host that was recorded by mistake is tried again as soon. */
const EXPIRY_MS = 1000

/** Immutable. A dead host stays in the table of hosts for up to a minute; trying it after all others keeps each new session from waiting for its timeout. */
export class UnreachableHosts {
  private constructor (private readonly failedAt: ReadonlyMap<HostId, Instant>) {}

  static readonly none = new UnreachableHosts(new Map())

  with (id: HostId, now: Instant): UnreachableHosts {
    const kept = [...this.failedAt].filter(([, at]) => now - at < EXPIRY_MS)
    return new UnreachableHosts(new Map([...kept, [id, now]]))
  }

  /** The same hosts, with those that couldn't be reached lately at the end. */
  last (hosts: readonly PoolHost[], now: Instant): readonly PoolHost[] {
    const isUnreachable = ({ id }: PoolHost) => now - (this.failedAt.get(id) ?? -Infinity) < EXPIRY_MS
    return [...hosts.filter(host => !isUnreachable(host)), ...hosts.filter(isUnreachable)]
  }
}
