/** What a group's owner knows for placing reads where the load of all owners counts: health, lag, and what the others have. */

import type { Endpoint } from '../../directory/endpoint.ts'
import type { DataCentreId } from '../../id/datacentre.ts'
import type { EndpointId } from '../../id/endpoint.ts'
import type { Instant } from '../../id/instant.ts'
import type { Token } from '../../token.ts'
import { GroupHealth } from '../health/grouphealth.ts'
import { noReports } from '../load/noreports.ts'
import type { OthersLoad } from '../load/othersload.ts'
import { ReplicaLag } from './replicalag.ts'
import type { LogProgress } from './logprogress.ts'
import { rankEndpoints } from './rankendpoints.ts'

interface View {
  readonly endpoints: readonly Endpoint[]
  readonly primary: EndpointId | undefined
  readonly dataCentre: DataCentreId
  readonly progress: LogProgress
  /** Until the read's time is up. */
  readonly leftMs: number
  /** Operations of this owner that wait for a connection or a place there. */
  readonly queued: (id: EndpointId) => number
  readonly needsNewConnection: (id: EndpointId) => boolean
  readonly isReachable: (id: EndpointId) => boolean
  /** Whether it didn't refuse a read for want of a position just now. */
  readonly mayContain: (id: EndpointId) => boolean
}

/** By the clock of deadlines, and by that of ages. */
interface Times {
  readonly now: Instant
  readonly age: Instant
}

interface ReadPlacement {
  readonly endpoint: EndpointId
  /** The read is to be held for so long, since the endpoint won't have what it needs before; milliseconds. */
  readonly waitMs: number
}

/** Changes in place: it's touched by every statement. */
export class ReadBalancer {
  readonly health = GroupHealth.create()
  private readonly lags = new Map<EndpointId, ReplicaLag>()
  private othersLoad = noReports

  private constructor (private readonly order: typeof rankEndpoints) {}

  static create (order: typeof rankEndpoints = rankEndpoints): ReadBalancer {
    return new ReadBalancer(order)
  }

  /** Takes what the others have from now on. */
  setOthersLoad (othersLoad: OthersLoad): void {
    this.othersLoad = othersLoad
  }

  /** Whether it's known how much each endpoint works on at a time. */
  static isSupported (endpoints: readonly Endpoint[]): boolean {
    return endpoints.every(({ places }) => places !== undefined)
  }

  /** Where a read goes next whose log must hold the position; undefined when no endpoint is left. `tried`: those that didn't do it. */
  place (view: View, position: Token, tried: ReadonlySet<EndpointId>, { now, age }: Times, chance: () => number): ReadPlacement | undefined {
    const candidates = this.candidates(view, position, { now, age })
    const endpoint = this.order(candidates, chance).find(id => !tried.has(id))
    if (endpoint === undefined) return undefined
    const { isTrialDue: isTryDue, waitMs } = candidates.find(({ id }) => id === endpoint)!
    if (isTryDue) this.health.recordTrial(endpoint, now)
    this.lags.set(endpoint, this.lag(endpoint).withRead(position, age))
    return { endpoint, waitMs }
  }

  /** Judges the endpoints; yields those that were put aside and those that are back. */
  evaluateHealth ({ endpoints, primary }: Pick<View, 'endpoints' | 'primary'>, now: Instant): ReturnType<GroupHealth['evaluate']> {
    const there = endpoints.filter(({ isLeaving }) => !isLeaving)
    return this.health.evaluate(there.map(({ id }) => ({ id, isPrimary: id === primary })), this.othersLoad, now)
  }

  /** Statements at the endpoint for each of its places, of all owners, with one that goes there now. */
  statementsPerPlace ({ id, places }: Endpoint, now: Instant): number {
    return places === undefined ? 1 : (1 + this.health.atWork(id) + this.othersLoad.at(id, now).atWork) / places
  }

  answered (id: EndpointId, position: Token, progress: LogProgress, age: Instant): void {
    this.lags.set(id, this.lag(id).answered(position, progress.lagBounds(position, age), age))
  }

  recordRefusal (id: EndpointId, age: Instant): void {
    this.lags.set(id, this.lag(id).withRefusal(age))
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
      const mayServe = view.isReachable(id) && (isPrimary || (!endpoint.isLeaving && view.mayContain(id)))
      const waitMs = isPrimary ? 0 : this.lag(id).waitMs(position, progress.reachedAt(position), age)
      if (!mayServe || waitMs === undefined || waitMs >= view.leftMs) return []
      const they = this.othersLoad.at(id, now)
      const answers = this.health.responses(id)
      return [{
        id,
        isPrimary,
        isRemote: endpoint.dataCentre !== dataCentre,
        needsNewConnection: view.needsNewConnection(id),
        places: places ?? 1,
        load: this.health.atWork(id) + view.queued(id) + they.atWork + they.waiting,
        serviceTimeMs: answers.serviceTimeMs(now),
        failing: answers.failing(now),
        waitMs,
        part: this.health.part(id),
        isTrialDue: this.health.isTrialDue(id, they.owners, now)
      }]
    })
  }

  private lag (id: EndpointId): ReplicaLag {
    return this.lags.get(id) ?? ReplicaLag.unknown
  }
}
