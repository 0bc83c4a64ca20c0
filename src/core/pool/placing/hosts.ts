/** The hosts that are alive, as their rows in the shared table show. */

import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import type { PoolHost } from './host.ts'

interface Seen {
  readonly host: PoolHost
  readonly version: number
  /** When this process first saw the row in this version. */
  readonly at: Instant
}

/** Immutable; rows yield the next value. */
export class Hosts {
  private constructor (private readonly seen: ReadonlyMap<HostId, Seen>) {}

  static readonly empty = new Hosts(new Map())

  with (host: PoolHost, version: number, now: Instant): Hosts {
    if (this.seen.get(host.id)?.version === version) return this
    return new Hosts(new Map([...this.seen, [host.id, { host, version, at: now }]]))
  }

  /** Without those that aren't listed any more. */
  only (ids: readonly HostId[]): Hosts {
    const listed = new Set(ids)
    return new Hosts(new Map([...this.seen].filter(([id]) => listed.has(id))))
  }

  /**
   * Hosts whose row changed within the time. A host that died keeps its row; its
   * age is told from when this process saw it change, so no clock of another host counts.
   */
  alive (withinMs: number, now: Instant): readonly PoolHost[] {
    return [...this.seen.values()].filter(({ at }) => now - at < withinMs).map(({ host }) => host)
  }
}
