/** Endpoints whose entries disappeared without notice. */

import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'

/** After an outage of the store live endpoints renew their entries within two seconds; the rest is for transport. */
const GRACE_MS = 2500

/**
 * Keeps endpoints for a grace period after their entries disappeared. Entries
 * need heartbeats, which fail during an outage of the store, so afterwards
 * entries of live endpoints are missing for a moment. An endpoint that announced
 * that it leaves gets no grace period. Immutable.
 */
export class MissingEndpoints {
  private constructor (private readonly since: ReadonlyMap<EndpointId, Instant>) {}

  static readonly empty = new MissingEndpoints(new Map())
  /** How long an endpoint is kept, in milliseconds. */
  static readonly graceMs = GRACE_MS

  /** Marks the endpoint as missing since the instant, unless it was missing already. */
  with (id: EndpointId, now: Instant): MissingEndpoints {
    return this.since.has(id) ? this : new MissingEndpoints(new Map([...this.since, [id, now]]))
  }

  /** Forgets the endpoint, which is listed again or was dropped. */
  without (id: EndpointId): MissingEndpoints {
    return this.since.has(id) ? new MissingEndpoints(new Map([...this.since].filter(([other]) => other !== id))) : this
  }

  /** Endpoints whose grace period is over. */
  expired (now: Instant): readonly EndpointId[] {
    return [...this.since].filter(([, at]) => now - at >= GRACE_MS).map(([id]) => id)
  }
}
