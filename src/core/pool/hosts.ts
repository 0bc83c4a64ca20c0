/** The hosts that are alive, as their rows in the shared table show. */

import type { HostId } from '../id/host.ts'
import type { Instant } from '../id/instant.ts'

interface Seen {
  readonly version: number
  /** When this process first saw the row in this version. */
  readonly at: Instant
}

/** Immutable; rows yield the next value. */
export class Hosts {
  private constructor (private readonly seen: ReadonlyMap<HostId, Seen>) {}

  static readonly empty = new Hosts(new Map())

  with (host: HostId, version: number, now: Instant): Hosts {
    if (this.seen.get(host)?.version === version) return this
    return new Hosts(new Map([...this.seen, [host, { version, at: now }]]))
  }

  without (host: HostId): Hosts {
    return new Hosts(new Map([...this.seen].filter(([id]) => id !== host)))
  }

  /**
   * Hosts whose row changed within the time, in a fixed order. A host that died
   * keeps its row; its age is told from when this process saw it change, so no
   * clock of another host counts.
   */
  alive (withinMs: number, now: Instant): readonly HostId[] {
    return [...this.seen].filter(([, { at }]) => now - at < withinMs).map(([id]) => id).sort()
  }

  get all (): readonly HostId[] {
    return [...this.seen.keys()]
  }
}
