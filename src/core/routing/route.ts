/** Routes reads: the endpoint, and what has to be proved there. */

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
  /** The session's newest write, or the bound used in its stead. */
  readonly token: Token
  readonly watermarks: Watermarks
  /** Endpoints in the caller's data centre. */
  readonly near: ReadonlySet<EndpointId>
  readonly now: Instant
  /** Random number in [0, 1) that chooses among equal replicas, so that proxies with the same samples choose different ones. */
  readonly chance: number
  /** Since when the read has been waiting for a replica. */
  readonly since: Instant
  /** Whether the replicas were sampled again for this read. */
  readonly isRefreshed: boolean
  /** Whether the notice of a write that the session may have made is missing; most arrive within milliseconds. */
  readonly isWriteNoticePending: boolean
}

type Route =
  | { readonly kind: 'replica', readonly endpoint: EndpointId }
  | { readonly kind: 'primary', readonly endpoint: EndpointId }
  /** Sample the replicas after `ms` and route again. */
  | { readonly kind: 'wait', readonly ms: number }
  /** Route again after the next change of a group, or after `ms`. */
  | { readonly kind: 'note', readonly ms: number }
  | { readonly kind: 'lost', readonly token: Token }
  | { readonly kind: 'none' }

/** Maximum wait for a replica; a read at the primary, with its proof, takes about as long. */
const MAX_REPLICA_WAIT_MS = 15
const MIN_WAIT_MS = 2
/** Maximum wait for a write notice. One that takes longer than a round trip is lost, or its sender isn't connected to this process. */
const MAX_NOTICE_WAIT_MS = 10
/** Added to the queue length of replicas in other data centres, so that local ones are preferred. */
const REMOTE_QUEUE_PENALTY = 4

/**
 * Routes a read. A replica is chosen only if its sample proves that it has applied the token and, for a maximum age, if the watermarks
 * prove that age.
 */
export function routeRead (read: ReadRequest): Route {
  const { group, freshness, token } = read
  if (!group.history.contains(token.term, token.position)) return { kind: 'lost', token }
  if (freshness.kind !== 'strict') {
    const freshReplicas = group.alignedReplicas.filter(sample => isFresh(sample, read))
    if (freshReplicas.length > 0) return { kind: 'replica', endpoint: leastLoaded(freshReplicas, read).endpoint }
    const ms = replicaWaitMs(read)
    if (ms !== undefined) return { kind: 'wait', ms }
    if (read.isWriteNoticePending && read.now - read.since < MAX_NOTICE_WAIT_MS) return { kind: 'note', ms: MIN_WAIT_MS }
  }
  const { primary } = group
  return primary === undefined ? { kind: 'none' } : { kind: 'primary', endpoint: primary.endpoint }
}

function isFresh (sample: Sample, { freshness, token, watermarks, now }: ReadRequest): boolean {
  if (!hasApplied(sample, token)) return false
  return freshness.kind !== 'age' || watermarks.age(sample, now) <= freshness.ms
}

function leastLoaded (freshReplicas: readonly Sample[], { near, chance }: ReadRequest): Sample {
  const cost = (sample: Sample): number => sample.queued + (near.has(sample.endpoint) ? 0 : REMOTE_QUEUE_PENALTY)
  // On the path of every read, so the best replicas are collected in one pass.
  let least = Infinity
  let best: Sample[] = []
  for (const sample of freshReplicas) {
    const own = cost(sample)
    if (own < least) best = []
    least = Math.min(least, own)
    if (own === least) best.push(sample)
  }
  return best[Math.floor(chance * best.length)]!
}

/** Milliseconds to wait before the replicas are sampled again; undefined if the primary is faster. */
function replicaWaitMs (read: ReadRequest): number | undefined {
  const { group, isRefreshed, watermarks, now, since } = read
  const replicas = group.alignedReplicas
  if (replicas.length === 0) return undefined
  if (!isRefreshed) return 0
  const left = MAX_REPLICA_WAIT_MS - (now - since)
  const lagMs = Math.min(...replicas.map(sample => watermarks.age(sample, now)))
  if (lagMs > left) return undefined
  return Math.max(MIN_WAIT_MS, Math.min(lagMs, left))
}
