/** How many of an endpoint's places (permits for one statement or connection opening each) this host may use now. */

import type { Instant } from '../../id/instant.ts'
import { LatencyLimit } from './latencylimit.ts'
import type { OthersLoad } from './othersload.ts'

type OthersLoadAtEndpoint = ReturnType<OthersLoad['at']>

/**
 * Statements on their way to the endpoint, as a fraction of its places. Without them places would be idle for a round trip, and until an owner knows that
 * another one uses less than its share.
 */
const SPARE_RATIO = 1 / 2
/** Maximum fraction of the places to use while no other owner's reports are received: it is more likely that their reports are lost than that they have stopped. */
const NO_REPORTS_RATIO = 1 / 2
/** Time constant of the mean of this host's own demand: the time of a few statements. */
const DEMAND_TIME_CONSTANT_MS = 50
/** An owner with a fractional share of a place alternates between the two whole numbers within this period. */
const ROUNDING_PERIOD_MS = 40
/** After a refusal for overload this host halves its ceiling. */
const BACKOFF_FACTOR = 0.5
/** Backs off at most once in the time within which earlier statements are answered. */
const BACKOFF_INTERVAL_MS = 100
/** Raises the ceiling by one place in this interval while requests wait. */
const RAISE_INTERVAL_MS = 200

/**
 * The places, and some to spare, are shared between the owners of a group in proportion to their reported demand. An owner with demand has at least an
 * equal share, so that one owner's long queue doesn't stop the others; beyond that it has no more than the others leave.
 *
 * Owners whose reports don't arrive may still use the endpoint. While no reports arrive, the limit depends on response times. In any case there is a
 * ceiling, which is halved when the endpoint refuses for overload, and rises again while requests wait. Changes in place, with every statement.
 */
export class PlaceLimit {
  private ceiling: number
  private meanDemand = 0
  private last = 0
  private demandAt: Instant
  private raisedAt: Instant
  private readonly latencyLimit = LatencyLimit.create()
  private backedOffAt = -Infinity as Instant

  private constructor (private places: number, private readonly phase: number, now: Instant) {
    this.ceiling = this.capacity
    this.demandAt = now
    this.raisedAt = now
  }

  /** `phase`: random number in [0, 1), so that owners with fractional shares don't round up at the same time. */
  static create (places: number, phase: number, now: Instant): PlaceLimit {
    return new PlaceLimit(places, phase, now)
  }

  /** The endpoint reports another number of places. */
  resize (places: number): void {
    const isWhole = this.ceiling >= this.capacity
    this.places = places
    this.ceiling = isWhole ? this.capacity : Math.min(this.ceiling, this.capacity)
  }

  /** `demand`: what this host has at the endpoint and waiting for it. Returns at least 1. */
  at (demand: number, others: OthersLoadAtEndpoint, now: Instant): number {
    this.updateMeanDemand(demand, now)
    this.raiseCeiling(demand, now)
    const part = others.owners === 0 ? Math.min(this.limitWithoutReports, this.latencyLimit.places) : this.shareFor(Math.max(demand, this.meanDemand), others)
    const due = Math.min(this.ceiling, part)
    const turn = (now / ROUNDING_PERIOD_MS + this.phase) % 1
    return Math.max(1, Math.floor(due + turn))
  }

  /** `ms`: from sending a statement of the class to its answer. */
  answered (ms: number, rank: number, now: Instant): void {
    this.latencyLimit.answered(ms, rank, this.limitWithoutReports, now)
  }

  /** The endpoint refused something for overload. */
  backOff (now: Instant): void {
    if (now - this.backedOffAt < BACKOFF_INTERVAL_MS) return
    this.backedOffAt = now
    this.raisedAt = now
    this.ceiling = Math.max(1, this.ceiling * BACKOFF_FACTOR)
  }

  private get capacity (): number {
    return this.places + Math.ceil(this.places * SPARE_RATIO)
  }

  private get limitWithoutReports (): number {
    return Math.ceil(this.capacity * NO_REPORTS_RATIO)
  }

  private shareFor (own: number, { owners, atWork, waiting }: OthersLoadAtEndpoint): number {
    const { capacity } = this
    const theirs = atWork + waiting
    if (own + theirs <= capacity) return capacity - theirs
    const equal = capacity / (owners + 1)
    return Math.max(equal, Math.min(capacity - atWork, capacity * own / (own + theirs)))
  }

  private updateMeanDemand (demand: number, now: Instant): void {
    const kept = Math.exp(-(now - this.demandAt) / DEMAND_TIME_CONSTANT_MS)
    this.meanDemand = this.last + (this.meanDemand - this.last) * kept
    this.last = demand
    this.demandAt = now
  }

  private raiseCeiling (demand: number, now: Instant): void {
    if (now - this.raisedAt < RAISE_INTERVAL_MS) return
    this.raisedAt = now
    if (demand > this.ceiling) this.ceiling = Math.min(this.capacity, this.ceiling + 1)
  }
}
