/** Ranks the endpoints of a group whose load is known over all owners, by the expected time until a read's answer. */

import type { EndpointId } from '../../id/endpoint.ts'

interface Candidate {
  readonly id: EndpointId
  readonly isPrimary: boolean
  readonly isRemote: boolean
  /** Whether a new connection would have to be opened, since the idle ones serve other teams. */
  readonly needsNewConnection: boolean
  /** Statements that it works on at a time. */
  readonly places: number
  /** Statements of all owners that are there or on their way. */
  readonly load: number
  /** How long one statement takes at a free place, with the round trip; undefined if none was answered lately. */
  readonly serviceTimeMs: number | undefined
  /** Failure rate, from 0 to 1. */
  readonly failing: number
  /** Milliseconds until its log is expected to contain what the read needs. */
  readonly waitMs: number
  /** The fraction of its reads that it keeps, from 0 to 1. */
  readonly part: number
  /** Whether a single read should show if the ejected endpoint has recovered. */
  readonly isTrialDue: boolean
}

/** Costs are in statements of the group's typical length. Only the primary takes writes, so it serves reads only if it's faster by one statement. */
const PRIMARY_COST = 1
/** Opening a connection occupies a place for half a statement; the read waits for it, and others lack the place. */
const NEW_CONNECTION_COST = 1
/** The bytes to another data centre; the time is already part of the response times. */
const REMOTE_COST = 0.25
/** Keeps the expected time finite in a group that fails as a whole. */
const MIN_SUCCESS_RATE = 0.1
/** Used if no time is known; only the ratios matter then. */
const DEFAULT_SERVICE_TIME_MS = 1

/**
 * All candidates, the best first. A read waits for the statements that are already there or on their way, as many at a time as the endpoint has places,
 * and then for its own work; one that fails has to be repeated elsewhere. `chance`: yields numbers from 0 to below 1.
 *
 * Ejected endpoints come last for the fraction of reads that they lose. At most a minority of the candidates is treated so, since an endpoint counts as an
 * outlier only by comparison with the others.
 */
export function rankEndpoints (candidates: readonly Candidate[], chance: () => number): readonly EndpointId[] {
  const typicalMs = typicalServiceTime(candidates)
  const ejected = ejectedEndpoints(candidates)
  const placed = candidates.map(one => {
    const isLast = ejected.has(one.id) && chance() >= one.part
    return { id: one.id, order: one.isTrialDue ? 0 : isLast ? 2 : 1, ms: expectedMs(one, typicalMs) }
  })
  return placed.sort((a, b) => a.order - b.order || a.ms - b.ms).map(({ id }) => id)
}

/** Expected time until the answer, plus the costs of the read to others. */
function expectedMs (one: Candidate, typicalMs: number): number {
  const serviceTimeMs = one.serviceTimeMs ?? typicalMs
  const queueMs = one.load / one.places * serviceTimeMs
  // The primary's times are mostly those of other, shorter statements.
  const workMs = one.isPrimary ? Math.max(serviceTimeMs, typicalMs) : serviceTimeMs
  const costs = (one.isPrimary ? PRIMARY_COST : 0) + (one.needsNewConnection ? NEW_CONNECTION_COST : 0) + (one.isRemote ? REMOTE_COST : 0)
  const answered = Math.max(MIN_SUCCESS_RATE, 1 - one.failing)
  return one.waitMs + (queueMs + workMs) / answered + costs * typicalMs
}

/** The minimum over the replicas, so that a slow replica doesn't raise the primary's cost. */
function typicalServiceTime (candidates: readonly Candidate[]): number {
  const known = (isPrimary: boolean) => candidates.filter(one => one.isPrimary === isPrimary).map(({ serviceTimeMs }) => serviceTimeMs).filter(ms => ms !== undefined)
  const times = [known(false), known(true)].find(({ length }) => length > 0) ?? [DEFAULT_SERVICE_TIME_MS]
  return Math.min(...times)
}

function ejectedEndpoints (candidates: readonly Candidate[]): ReadonlySet<EndpointId> {
  const most = Math.floor((candidates.length - 1) / 2)
  const worst = candidates.filter(({ part }) => part < 1).sort((a, b) => a.part - b.part || b.failing - a.failing)
  return new Set(worst.slice(0, most).map(({ id }) => id))
}
