/** How many of an endpoint's places this host may use now. */

import type { Instant } from '../../id/instant.ts'
import { LatencyLimit } from './latencylimit.ts'
import type { OthersLoad } from './othersload.ts'

type OthersLoadAtEndpoint = ReturnType<OthersLoad['at']>

/**
 * Beside the places that work, so many for each may be on their way there. Without them places idle for a round trip, and while an owner
 * doesn't know yet that another one uses less than its part.
 */
const SPARE_RATIO = 1 / 2
/** While no other owner is heard this host uses at most so much: others are more likely unheard than gone. */
const NO_REPORTS_RATIO = 1 / 2
/** How fast the mean of this host's own demand follows: a few statements' time. Milliseconds. */
const DEMAND_TIME_CONSTANT_MS = 50
/** Within this time an owner that is due one place and a half has one for half of it and two for the other. Milliseconds. */
const ROUNDING_PERIOD_MS = 40
/** Against owners that aren't heard: after a refusal for want of room this host uses half as much, */
const BACKOFF_FACTOR = 0.5
/** at most once within the time in which what it sent before is answered, */
const BACKOFF_INTERVAL_MS = 100
/** and one place more each time this passes while some wait. */
const RAISE_INTERVAL_MS = 200

/**
 * The places, and some to spare, are shared between the owners of a group by their demand, as their reports tell it. An owner with demand has
 * at least an equal share, so that one owner's long queue doesn't stop the others; beyond that it has no more than the others leave.
 *
 * Owners whose reports don't come may be there all the same. While none is heard, this host goes by how long answers take; and at all times
 * it has a ceiling, which is halved when the endpoint refuses for want of room, and climbs back while some wait. Changes in place: it's asked
 * with every statement.
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

  /** `phase`: chance in [0, 1), so that owners that are due parts of a place don't take them at one moment. */
  static create (places: number, phase: number, now: Instant): PlaceLimit {
    return new PlaceLimit(places, phase, now)
  }

  /** The endpoint tells another number of places. */
  resize (places: number): void {
    const isWhole = this.ceiling >= this.capacity
    this.places = places
    this.ceiling = isWhole ? this.capacity : Math.min(this.ceiling, this.capacity)
  }

  /** `demand`: what this host has at the endpoint and waiting for it. At least 1. */
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

  /** The endpoint refused something for want of room. */
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
