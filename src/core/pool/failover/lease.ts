/** Who may order promotions of a group, as the row in the shared table shows. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { HostId } from '../../id/host.ts'
import type { Instant } from '../../id/instant.ts'
import { timings } from './timings.ts'

interface Fields {
  readonly holder: HostId
  /** The primary that the holder finds out of reach and asks the others about; undefined when it doesn't ask. */
  readonly asksFor: EndpointId | undefined
  /** The version that the store gave to the change that took it; grows, so it serves as the fence. */
  readonly version: number
  /** When this process first saw it in this version, on the clock that counts suspension. */
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

  /**
   * Whether the host may claim it. Another's lease is waited out by this
   * process's own clock from when it saw the row, so no two clocks are compared.
   */
  mayClaim (host: HostId, now: Instant): boolean {
    return this.holder === host || now - this.seenAt >= timings.leaseMs
  }

  /** Whether its holder may still give orders; the fence shuts out those that come later nevertheless. */
  isHeldBy (host: HostId, now: Instant): boolean {
    return this.holder === host && now - this.seenAt < timings.leaseMs
  }
}
