/** What an owner of a group uses to place reads, considering the load of all owners: health, lag, and the other owners' load. */

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
  /** Until the read's deadline. */
  readonly remainingMs: number
  /** Operations of this owner that wait for a connection or a place there. */
  readonly queued: (id: EndpointId) => number
  readonly needsNewConnection: (id: EndpointId) => boolean
  readonly isReachable: (id: EndpointId) => boolean
  /** Whether it hasn't just refused a read because it was behind. */
  readonly mayContain: (id: EndpointId) => boolean
}

/** `now` is read from the clock of deadlines, `age` from the `AgeClock`. */
interface Times {
  readonly now: Instant
  readonly age: Instant
}

interface ReadPlacement {
  readonly endpoint: EndpointId
  /** How long to hold the read, since the endpoint won't have what it needs before; milliseconds. */
  readonly waitMs: number
}

/** Changes in place, with every statement. */
export class ReadBalancer {
  readonly health = GroupHealth.create()
  private readonly lags = new Map<EndpointId, ReplicaLag>()
  private othersLoad = noReports

  private constructor (private readonly order: typeof rankEndpoints) {}

  static create (order: typeof rankEndpoints = rankEndpoints): ReadBalancer {
    return new ReadBalancer(order)
  }

  /** Sets the load of the other owners. */
  setOthersLoad (othersLoad: OthersLoad): void {
    this.othersLoad = othersLoad
  }

  /** Whether every endpoint reports its places. */
  static isSupported (endpoints: readonly Endpoint[]): boolean {
    return endpoints.every(({ places }) => places !== undefined)
  }

  /** Where a read goes whose log must contain the position; undefined if no endpoint is left. `tried`: endpoints that have already failed to serve it. */
  place (view: View, position: Token, tried: ReadonlySet<EndpointId>, { now, age }: Times, chance: () => number): ReadPlacement | undefined {
    const candidates = this.candidates(view, position, { now, age })
    const endpoint = this.order(candidates, chance).find(id => !tried.has(id))
    if (endpoint === undefined) return undefined
    const { isTrialDue, waitMs } = candidates.find(({ id }) => id === endpoint)!
    if (isTrialDue) this.health.recordTrial(endpoint, now)
    this.lags.set(endpoint, this.lag(endpoint).withRead(position, age))
    return { endpoint, waitMs }
  }

  /** Evaluates the endpoints' health; returns those that were ejected and those that are back. */
  evaluateHealth ({ endpoints, primary }: Pick<View, 'endpoints' | 'primary'>, now: Instant): ReturnType<GroupHealth['evaluate']> {
    const staying = endpoints.filter(({ isLeaving }) => !isLeaving)
    return this.health.evaluate(staying.map(({ id }) => ({ id, isPrimary: id === primary })), this.othersLoad, now)
  }

  /** Statements of all owners at the endpoint per place, including one that is sent now. */
  statementsPerPlace ({ id, places }: Endpoint, now: Instant): number {
    return places === undefined ? 1 : (1 + this.health.atWork(id) + this.othersLoad.at(id, now).atWork) / places
  }

  answered (id: EndpointId, position: Token, progress: LogProgress, age: Instant): void {
    this.lags.set(id, this.lag(id).answered(position, progress.lagBounds(position, age), age))
  }

  recordRefusal (id: EndpointId, age: Instant): void {
    this.lags.set(id, this.lag(id).withRefusal(age))
  }

  /** The endpoint is gone, or was restarted under the same id. */
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
      if (!mayServe || waitMs === undefined || waitMs >= view.remainingMs) return []
      const others = this.othersLoad.at(id, now)
      const responses = this.health.responses(id)
      return [{
        id,
        isPrimary,
        isRemote: endpoint.dataCentre !== dataCentre,
        needsNewConnection: view.needsNewConnection(id),
        places: places ?? 1,
        load: this.health.atWork(id) + view.queued(id) + others.atWork + others.waiting,
        serviceTimeMs: responses.serviceTimeMs(now),
        failing: responses.failing(now),
        waitMs,
        part: this.health.part(id),
        isTrialDue: this.health.isTrialDue(id, others.owners, now)
      }]
    })
  }

  private lag (id: EndpointId): ReplicaLag {
    return this.lags.get(id) ?? ReplicaLag.unknown
  }
}
