/** Where a read goes: the endpoint, and what has to be proved there. */

import type { Group } from '../group/group.ts'
import type { Sample } from '../group/sample.ts'
import type { EndpointId } from '../id/endpoint.ts'
import type { Instant } from '../id/instant.ts'
import type { Token } from '../token.ts'
import { hasApplied } from './applied.ts'
import type { Freshness } from './freshness.ts'
import type { Watermarks } from './watermarks.ts'

interface ReadRequest {
  readonly group: Group
  readonly freshness: Freshness
  /** The session's newest write, or the bound that stands in for it. */
  readonly token: Token
  readonly watermarks: Watermarks
  /** Endpoints of the caller's own data centre. */
  readonly near: ReadonlySet<EndpointId>
  readonly now: Instant
  /** In [0, 1); chooses among equals, so that proxies with the same samples don't all choose the same replica. */
  readonly chance: number
  /** Since when the read has been waiting for a replica. */
  readonly since: Instant
  /** Whether the replicas were asked again for this read. */
  readonly isRefreshed: boolean
  /** Whether the note of a write that the session may have made is missing; most come within milliseconds. */
  readonly isWriteNoticePending: boolean
}

type Route =
  | { readonly kind: 'replica', readonly endpoint: EndpointId }
  | { readonly kind: 'primary', readonly endpoint: EndpointId }
  /** Ask the replicas again after so long, and route again. */
  | { readonly kind: 'wait', readonly ms: number }
  /** Route again when something was learnt, or after so long. */
  | { readonly kind: 'note', readonly ms: number }
  | { readonly kind: 'lost', readonly token: Token }
  | { readonly kind: 'none' }

/** About what the way to the primary and its proof cost; a read doesn't wait longer for a replica. */
const MAX_REPLICA_WAIT_MS = 15
const MIN_WAIT_MS = 2
/** A note that takes longer than a round trip is lost, or was made by a process that isn't linked. */
const MAX_NOTICE_WAIT_MS = 10
/** How many queued requests a replica of another data centre is worth. */
const REMOTE_QUEUE_PENALTY = 4

/**
 * Routes a read. A replica is chosen only when its sample proves that it has
 * applied the token and, for a stated age, when the marks prove the age.
 */
export function routeRead (read: ReadRequest): Route {
  const { group, freshness, token } = read
  if (!group.history.contains(token.term, token.position)) return { kind: 'lost', token }
  if (freshness.kind !== 'strict') {
    const able = group.alignedReplicas.filter(sample => isFresh(sample, read))
    if (able.length > 0) return { kind: 'replica', endpoint: leastLoaded(able, read).endpoint }
    const ms = replicaWaitMs(read)
    if (ms !== undefined) return { kind: 'wait', ms }
    if (read.isWriteNoticePending && read.now - read.since < MAX_NOTICE_WAIT_MS) return { kind: 'note', ms: MIN_WAIT_MS }
  }
  const { primary } = group
  return primary === undefined ? { kind: 'none' } : { kind: 'primary', endpoint: primary.endpoint }
}

function isFresh (sample: Sample, { freshness, token, watermarks: marks, now }: ReadRequest): boolean {
  if (!hasApplied(sample, token)) return false
  return freshness.kind !== 'age' || marks.age(sample, now) <= freshness.ms
}

function leastLoaded (able: readonly Sample[], { near, chance }: ReadRequest): Sample {
  const cost = (sample: Sample): number => sample.queued + (near.has(sample.endpoint) ? 0 : REMOTE_QUEUE_PENALTY)
  // A read comes this way each time, so the best are gathered in one turn.
  let least = Infinity
  let best: Sample[] = []
  for (const sample of able) {
    const own = cost(sample)
    if (own < least) best = []
    least = Math.min(least, own)
    if (own === least) best.push(sample)
  }
  return best[Math.floor(chance * best.length)]!
}

/** How long to wait before the replicas are asked again; undefined when the primary is the faster way. */
function replicaWaitMs (read: ReadRequest): number | undefined {
  const { group, isRefreshed, watermarks: marks, now, since } = read
  const replicas = group.alignedReplicas
  if (replicas.length === 0) return undefined
  if (!isRefreshed) return 0
  const left = MAX_REPLICA_WAIT_MS - (now - since)
  const lag = Math.min(...replicas.map(sample => marks.age(sample, now)))
  if (lag > left) return undefined
  return Math.max(MIN_WAIT_MS, Math.min(lag, left))
}
