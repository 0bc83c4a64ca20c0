/** Endpoints that are leaving or gone, and how long requests may still be sent to them. */

import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { Endpoint } from './endpoint.ts'

/** Share of the drain time in which requests are sent; the rest is for their way to the endpoint. */
const SERVED_SHARE = 0.9
/**
 * Share of the drain time after which a primary that is gone from the directory is replaced, even if it still answers. Until then it may
 * be listed again; the rest is for the promotion.
 */
const REPLACED_SHARE = 0.6
/**
 * Share of the drain time that is taken to have passed at most when a host hears that an endpoint leaves. A host that was out of touch
 * with the directory for longer can't know, and still has time to send requests until another endpoint is promoted.
 */
const MAX_UNKNOWN_SHARE = 0.5

/** Immutable. Instants are of the clock that counts suspension. */
export class Departures {
  private constructor (private readonly drainMs: number, private readonly since: ReadonlyMap<EndpointId, Instant>) {}

  /** `drainMs`: milliseconds for which an endpoint serves after it announced that it leaves. */
  static create (drainMs: number): Departures {
    return new Departures(drainMs, new Map())
  }

  /**
   * Takes in the listed endpoints. `staleMs`: milliseconds for which the change may have been in the directory; infinite if unknown.
   * `primary`: the endpoint that is believed to be the primary, which counts as leaving when its entry is gone.
   */
  directoryChanged (endpoints: readonly Endpoint[], primary: EndpointId | undefined, staleMs: number, now: Instant): Departures {
    const earliest = now - Math.min(staleMs, this.drainMs * MAX_UNKNOWN_SHARE) as Instant
    const leaving = endpoints.filter(({ isLeaving }) => isLeaving).map(({ id }) => id)
    const isGone = primary !== undefined && !endpoints.some(({ id }) => id === primary)
    const departed = isGone ? [...leaving, primary] : leaving
    return new Departures(this.drainMs, new Map(departed.map(id => [id, this.since.get(id) ?? earliest])))
  }

  /** Whether the endpoint is leaving or gone. */
  has (id: EndpointId): boolean {
    return this.since.has(id)
  }

  /** Whether a primary that is gone from the directory has to be replaced, even if it still answers. */
  isReplacementDue (id: EndpointId, now: Instant): boolean {
    return this.hasLasted(id, REPLACED_SHARE, now)
  }

  /** Whether requests no longer may be sent to the endpoint. */
  isOver (id: EndpointId, now: Instant): boolean {
    return this.hasLasted(id, SERVED_SHARE, now)
  }

  private hasLasted (id: EndpointId, share: number, now: Instant): boolean {
    const since = this.since.get(id)
    return since !== undefined && now - since >= this.drainMs * share
  }
}
