/** Which other hosts reach an endpoint, as their objections to its replacement show. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { Instant } from '../../id/instant.ts'
import type { PoolHost } from './host.ts'

interface Objection {
  readonly host: PoolHost
  readonly at: Instant
}

/** Hosts ask about an unreachable endpoint about once a second, and each answer renews the objections; this allows for one lost answer. */
const EXPIRY_MS = 2500

/**
 * Immutable. A primary that most hosts have lost isn't replaced while another host still reaches it. Hosts that object to its replacement can run
 * statements there for the hosts that don't reach it.
 */
export class ReachingHosts {
  private constructor (private readonly byEndpoint: ReadonlyMap<EndpointId, readonly Objection[]>) {}

  static readonly none = new ReachingHosts(new Map())

  with (endpoint: EndpointId, host: PoolHost, now: Instant): ReachingHosts {
    const others = (this.byEndpoint.get(endpoint) ?? []).filter(one => one.host.id !== host.id && isFresh(one, now))
    return new ReachingHosts(new Map([...this.byEndpoint, [endpoint, [...others, { host, at: now }]]]))
  }

  /** Hosts that reached it lately. */
  hosts (endpoint: EndpointId, now: Instant): readonly PoolHost[] {
    return (this.byEndpoint.get(endpoint) ?? []).filter(one => isFresh(one, now)).map(({ host }) => host)
  }
}

function isFresh ({ at }: Objection, now: Instant): boolean {
  return now - at < EXPIRY_MS
}
