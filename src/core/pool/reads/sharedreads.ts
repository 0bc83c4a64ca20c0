/** What a group's owner knows for placing reads where the load of all owners counts: health, lag, and what the others have. */

import type { Endpoint } from '../../directory/endpoint.ts'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { EndpointId } from '../../id/endpoint.ts'
import type { Instant } from '../../id/instant.ts'
import type { Token } from '../../token.ts'
import { Health } from '../health/health.ts'
import { unheard } from '../load/unheard.ts'
import type { OthersLoad } from '../load/othersload.ts'
import { Lag } from './lag.ts'
import type { Progress } from './progress.ts'
import { soonest } from './soonest.ts'

interface View {
  readonly endpoints: readonly Endpoint[]
  readonly primary: EndpointId | undefined
  readonly dataCentre: DataCentreId
  readonly progress: Progress
  /** Until the read's time is up. */
  readonly leftMs: number
  /** Operations of this owner that wait for a connection or a place there. */
  readonly queued: (id: EndpointId) => number
  readonly mustOpen: (id: EndpointId) => boolean
  readonly isReachable: (id: EndpointId) => boolean
  /** Whether it didn't refuse a read for want of a position just now. */
  readonly mayHold: (id: EndpointId) => boolean
}

/** By the clock of deadlines, and by that of ages. */
interface Times {
  readonly now: Instant
  readonly age: Instant
}

interface Placed {
  readonly endpoint: EndpointId
  /** The read is to be held for so long, since the endpoint won't have what it needs before; milliseconds. */
  readonly waitMs: number
}

/** Changes in place: it's touched by every statement. */
export class SharedReads {
  readonly health = Health.create()
  private readonly lags = new Map<EndpointId, Lag>()
  private others = unheard

  private constructor (private readonly order: typeof soonest) {}

  static create (order: typeof soonest = soonest): SharedReads {
    return new SharedReads(order)
  }

  /** Takes what the others have from now on. */
  takeOthers (others: OthersLoad): void {
    this.others = others
  }

  /** Whether it's known how much each endpoint works on at a time. */
  static isPossible (endpoints: readonly Endpoint[]): boolean {
    return endpoints.every(({ places }) => places !== undefined)
  }

  /** Where a read goes next whose log must hold the position; undefined when no endpoint is left. `tried`: those that didn't do it. */
  place (view: View, position: Token, tried: ReadonlySet<EndpointId>, { now, age }: Times, chance: () => number): Placed | undefined {
    const candidates = this.candidates(view, position, { now, age })
    const endpoint = this.order(candidates, chance).find(id => !tried.has(id))
    if (endpoint === undefined) return undefined
    const { isTryDue, waitMs } = candidates.find(({ id }) => id === endpoint)!
    if (isTryDue) this.health.tried(endpoint, now)
    this.lags.set(endpoint, this.lag(endpoint).asked(position, age))
    return { endpoint, waitMs }
  }

  /** Judges the endpoints; yields those that were put aside and those that are back. */
  look ({ endpoints, primary }: Pick<View, 'endpoints' | 'primary'>, now: Instant): ReturnType<Health['look']> {
    const there = endpoints.filter(({ isLeaving }) => !isLeaving)
    return this.health.look(there.map(({ id }) => ({ id, isPrimary: id === primary })), this.others, now)
  }

  /** Statements at the endpoint for each of its places, of all owners, with one that goes there now. */
  crowd ({ id, places }: Endpoint, now: Instant): number {
    return places === undefined ? 1 : (1 + this.health.atWork(id) + this.others.at(id, now).atWork) / places
  }

  answered (id: EndpointId, position: Token, progress: Progress, age: Instant): void {
    this.lags.set(id, this.lag(id).answered(position, progress.lagAt(position, age), age))
  }

  fellShort (id: EndpointId, age: Instant): void {
    this.lags.set(id, this.lag(id).fellShort(age))
  }

  /** The endpoint is gone, or began anew under its id. */
  forget (id: EndpointId): void {
    this.lags.delete(id)
    this.health.forget(id)
  }

  private candidates (view: View, position: Token, { now, age }: Times) {
    const { endpoints, primary, dataCentre, progress } = view
    return endpoints.flatMap(endpoint => {
      const { id, places } = endpoint
      const isPrimary = id === primary
      const mayServe = view.isReachable(id) && (isPrimary || (!endpoint.isLeaving && view.mayHold(id)))
      const waitMs = isPrimary ? 0 : this.lag(id).waitMs(position, progress.reachedAt(position), age)
      if (!mayServe || waitMs === undefined || waitMs >= view.leftMs) return []
      const they = this.others.at(id, now)
      const answers = this.health.answers(id)
      return [{
        id,
        isPrimary,
        isFar: endpoint.dataCentre !== dataCentre,
        mustOpen: view.mustOpen(id),
        places: places ?? 1,
        load: this.health.atWork(id) + view.queued(id) + they.atWork + they.waiting,
        paceMs: answers.paceMs(now),
        failing: answers.failing(now),
        waitMs,
        part: this.health.part(id),
        isTryDue: this.health.isTryDue(id, they.owners, now)
      }]
    })
  }

  private lag (id: EndpointId): Lag {
    return this.lags.get(id) ?? Lag.unknown
  }
}
