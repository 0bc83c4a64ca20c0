/** Where a request goes: the endpoint, and what has to be proved there. */

import type { Group } from '../group/group.ts'
import type { Sample } from '../group/sample.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { Token } from '../token.ts'
import type { Freshness } from './freshness.ts'

interface Read {
  readonly group: Group
  readonly freshness: Freshness
  /** The session's newest write, or the bound that stands in for it. */
  readonly token: Token
  /** Endpoints nearest first; replicas of the caller's own data centre cost no hop. */
  readonly near: readonly EndpointId[]
}

type Route =
  | { readonly kind: 'replica', readonly endpoint: EndpointId }
  | { readonly kind: 'primary', readonly endpoint: EndpointId }
  | { readonly kind: 'lost', readonly token: Token }
  | { readonly kind: 'none' }

/**
 * Routes a read. A replica is chosen only when its sample proves that it has
 * applied the token: the applied position never shrinks within a history, so
 * an old sample is still proof.
 */
export function routeRead (read: Read): Route {
  const { group, freshness, token } = read
  if (!group.history.holds(token.term, token.position)) return { kind: 'lost', token }
  if (freshness.kind === 'session') {
    const replica = pickReplica(read)
    if (replica !== undefined) return { kind: 'replica', endpoint: replica.endpoint }
  }
  const primary = group.primary
  if (primary === undefined) return { kind: 'none' }
  return { kind: 'primary', endpoint: primary.endpoint }
}

function pickReplica ({ group, token, near }: Read): Sample | undefined {
  const able = group.samples.filter(sample =>
    sample.role === 'replica' && sample.reachable && hasApplied(sample, token))
  return able.sort((a, b) => near.indexOf(a.endpoint) - near.indexOf(b.endpoint) || a.queued - b.queued)[0]
}

/** Whether the sample proves that the endpoint shows every write up to the token. */
function hasApplied (sample: Sample, token: Token): boolean {
  return sample.lastTerm >= token.term &&
    sample.applied >= token.position &&
    sample.history.holds(token.term, token.position)
}
