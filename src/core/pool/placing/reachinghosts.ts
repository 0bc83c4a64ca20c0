/** Which other hosts reach an endpoint, as their objections to its replacement show. */

import type { EndpointId } from '../../id/endpoint.ts'
import type { Instant } from '../../id/instant.ts'
import type { PoolHost } from './host.ts'

interface Objection {
  readonly host: PoolHost
  readonly at: Instant
}

/** An endpoint that stays out of reach is asked about once a second or so, and each time its objectors say so again; one that is missed doesn't count. */
const EXPIRY_MS = 2500

/**
 * Guard against a primary that most hosts lost while one still reaches it: it's
 * rightly not replaced, and the others' callers are refused for as long as the
 * cut lasts. Whoever objects can run their statements. Immutable.
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
