/** Where a read goes in a group whose load is known over all owners: to the endpoint that answers soonest. */

import type { EndpointId } from '../../id/endpoint.ts'

interface Candidate {
  readonly id: EndpointId
  readonly isPrimary: boolean
  readonly isRemote: boolean
  /** Whether a connection would have to be opened, since those that are unused serve other teams. */
  readonly needsNewConnection: boolean
  /** Statements that it works on at a time. */
  readonly places: number
  /** Statements there and on their way there, of all owners. */
  readonly load: number
  /** How long a statement takes that finds a free place, the way with it; undefined when none was answered lately. */
  readonly serviceTimeMs: number | undefined
  /** The part that fails; from 0 to 1. */
  readonly failing: number
  /** Until its log is expected to hold what the read needs, in milliseconds. */
  readonly waitMs: number
  /** The part of its reads that it keeps; from 0 to 1. */
  readonly part: number
  /** Whether a single read has to show whether it's well again. */
  readonly isTrialDue: boolean
}

/** The prices, in statements of the group's usual length. The primary alone takes writes, so it serves reads only when it's sooner by as much as a whole one; */
const PRIMARY_COST = 1
/** an opening takes a place for half a statement, which the read waits for and others lack; */
const NEW_CONNECTION_COST = 1
/** and another data centre costs the bytes of the way there; its time is in the times of answers already. */
const REMOTE_COST = 0.25
/** However much an endpoint fails, so much of what it's asked is taken to be answered: else a group that fails as a whole couldn't be weighed. */
const MIN_SUCCESS_RATE = 0.1
/** While no time is known at all only the ratios count. */
const DEFAULT_SERVICE_TIME_MS = 1

/**
 * All candidates, the best first. A read waits for what is there and on its way there, by as many at a time as the endpoint has places, and then for its
 * own work; what fails has to be done once more, elsewhere. `chance`: from 0 to below 1, another for each call.
 *
 * Those that are put aside go last for the part of reads that they lost, but never most of the candidates: who is worse than two others is
 * judged by them, and the last one is better than none.
 */
export function rankEndpoints (candidates: readonly Candidate[], chance: () => number): readonly EndpointId[] {
  const usualMs = typicalServiceTime(candidates)
  const asides = ejectedEndpoints(candidates)
  const placed = candidates.map(one => {
    const isLast = asides.has(one.id) && chance() >= one.part
    return { id: one.id, order: one.isTrialDue ? 0 : isLast ? 2 : 1, ms: expectedMs(one, usualMs) }
  })
  return placed.sort((a, b) => a.order - b.order || a.ms - b.ms).map(({ id }) => id)
}

/** Until the answer, with the prices of what the read costs others. */
function expectedMs (one: Candidate, usualMs: number): number {
  const paceMs = one.serviceTimeMs ?? usualMs
  const queueMs = one.load / one.places * paceMs
  // What the primary was timed with are mostly other statements, and shorter ones.
  const workMs = one.isPrimary ? Math.max(paceMs, usualMs) : paceMs
  const prices = (one.isPrimary ? PRIMARY_COST : 0) + (one.needsNewConnection ? NEW_CONNECTION_COST : 0) + (one.isRemote ? REMOTE_COST : 0)
  const answered = Math.max(MIN_SUCCESS_RATE, 1 - one.failing)
  return one.waitMs + (queueMs + workMs) / answered + prices * usualMs
}

/** The least time of a replica: a slow one among them shouldn't make the primary dear. */
function typicalServiceTime (candidates: readonly Candidate[]): number {
  const known = (isPrimary: boolean) => candidates.filter(one => one.isPrimary === isPrimary).map(({ serviceTimeMs: paceMs }) => paceMs).filter(ms => ms !== undefined)
  const times = [known(false), known(true)].find(({ length }) => length > 0) ?? [DEFAULT_SERVICE_TIME_MS]
  return Math.min(...times)
}

function ejectedEndpoints (candidates: readonly Candidate[]): ReadonlySet<EndpointId> {
  const most = Math.floor((candidates.length - 1) / 2)
  const worst = candidates.filter(({ part }) => part < 1).sort((a, b) => a.part - b.part || b.failing - a.failing)
  return new Set(worst.slice(0, most).map(({ id }) => id))
}
