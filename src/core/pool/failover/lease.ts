/** The lease that allows one host to order promotions of a group, as its row in the shared table says. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import { timings } from './timings.ts'

interface Fields {
  readonly holder: HostId
  /** The primary that the holder can't reach and asks the other hosts about; undefined when it doesn't ask. */
  readonly asksFor: EndpointId | undefined
  /** The row's version when the lease was claimed; versions only grow, so it serves as the fence. */
  readonly version: number
  /** When this process first saw this version, on the clock that counts suspension. */
  readonly seenAt: Instant
}

/** Immutable. */
export class Lease implements Fields {
  readonly holder: HostId
  readonly asksFor: EndpointId | undefined
  readonly version: number
  readonly seenAt: Instant

  private constructor ({ holder, asksFor, version, seenAt }: Fields) {
    this.holder = holder
    this.asksFor = asksFor
    this.version = version
    this.seenAt = seenAt
  }

  static of (fields: Fields): Lease {
    return new Lease(fields)
  }

  /** Whether the host may claim the lease. Another host's lease expires by this process's own clock, counted from when it saw the row. */
  mayClaim (host: HostId, now: Instant): boolean {
    return this.holder === host || now - this.seenAt >= timings.leaseMs
  }

  /** Whether the host holds an unexpired lease; the fence rejects orders that arrive after it expired. */
  isHeldBy (host: HostId, now: Instant): boolean {
    return this.holder === host && now - this.seenAt < timings.leaseMs
  }
}
