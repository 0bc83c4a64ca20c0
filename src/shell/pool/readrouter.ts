/** Chooses endpoints for a group's reads, and tracks their health and load where the group has assigned owners and endpoints report their places. */

import type { Endpoint } from '../../core/directory/endpoint.ts'
import type { DataCentreId } from '../../core/id/datacentre.ts'
import type { EndpointId } from '../../core/id/endpoint.ts'
import type { GroupId } from '../../core/id/group.ts'
import type { Instant } from '../../core/id/instant.ts'
import type { TeamId } from '../../core/id/team.ts'
import type { ResponseStats } from '../../core/pool/health/responsestats.ts'
import type { OthersLoad } from '../../core/pool/load/othersload.ts'
import { readCandidates } from '../../core/pool/reads/candidates.ts'
import type { LogProgress } from '../../core/pool/reads/logprogress.ts'
import { ReadBalancer } from '../../core/pool/reads/readbalancer.ts'
import type { LogState } from '../../core/pool/reads/logstate.ts'
import type { Ending } from '../../core/pool/statements/ending.ts'
import type { Token } from '../../core/token.ts'
import type { Log } from '../log/log.ts'
import { clock } from './clock.ts'
import type { ConnectionPool } from './connections/connectionpool.ts'
import type { PoolMetrics } from './metrics.ts'

interface Options {
  readonly id: GroupId
  readonly dataCentre: DataCentreId
  readonly log: Log
  readonly metrics: PoolMetrics
  readonly chance: () => number
}

/** The group's state at the time of a read. */
interface View {
  readonly endpoints: readonly Endpoint[]
  readonly primary: EndpointId | undefined
  readonly progress: LogProgress
  /** Whether the group has assigned owners and this host is one. */
  readonly isShared: boolean
  readonly logState: (id: EndpointId) => LogState
  readonly connectionPool: (id: EndpointId) => ConnectionPool | undefined
  readonly isReachable: (id: EndpointId) => boolean
}

interface Read {
  /** The endpoint's log must contain this position. */
  readonly position: Token
  /** The team whose connections serve the read. */
  readonly team: TeamId | undefined
  /** Endpoints that were tried before. */
  readonly tried: ReadonlySet<EndpointId>
  /** Milliseconds until the read's deadline. */
  readonly remainingMs: number
}

interface ReadPlacement {
  readonly endpoint: EndpointId
  /** Milliseconds to delay the read until the endpoint is expected to have the position. */
  readonly waitMs: number
}

/** Endings that count as failures in an endpoint's health. */
const FAILED: ReadonlySet<Ending> = new Set<Ending>(['failed', 'timeout', 'broken', 'outOfTime'])

/** Holds the state of reads that a group's owners share, and replaces it as events come in. */
export class ReadRouter {
  private readonly shared = ReadBalancer.create()

  private constructor (private readonly options: Options, private readonly view: () => View) {}

  static create (options: Options, view: () => View): ReadRouter {
    return new ReadRouter(options, view)
  }

  /** The endpoint to try next; undefined if none is left. */
  place ({ position, team, tried, remainingMs }: Read): ReadPlacement | undefined {
    const now = clock.now()
    const view = this.view()
    const all = {
      ...view,
      dataCentre: this.options.dataCentre,
      remainingMs,
      queued: (id: EndpointId) => view.connectionPool(id)?.queued ?? 0,
      needsNewConnection: (id: EndpointId) => team !== undefined && view.connectionPool(id)?.hasIdle(team) !== true,
      mayContain: (id: EndpointId) => view.logState(id).mayContain(position, now)
    }
    if (!view.isShared || !ReadBalancer.isSupported(view.endpoints)) {
      const endpoint = readCandidates(all, position, now).find(id => !tried.has(id))
      return endpoint === undefined ? undefined : { endpoint, waitMs: 0 }
    }
    this.checkHealth(view, now)
    const placement = this.shared.place(all, position, tried, { now, age: clock.age() }, this.options.chance)
    if (placement !== undefined) this.options.metrics.readsPlaced.inc({ at: placement.endpoint === view.primary ? 'primary' : placement.waitMs > 0 ? 'replica awaited' : 'replica' })
    return placement
  }

  /** Sets the source of the other owners' load. */
  setOthersLoad (others: OthersLoad): void {
    this.shared.setOthersLoad(others)
  }

  /** Recent answers of the endpoint to this owner. */
  answers (id: EndpointId): ResponseStats {
    return this.shared.health.responses(id)
  }

  /** The fraction of its reads that the endpoint keeps given its health, from 0 to 1. */
  readShare (id: EndpointId): number {
    return this.shared.health.part(id)
  }

  /** Records a caller's statement sent to the endpoint. The returned function takes its ending; undefined where load isn't counted, as for a forwarding host. */
  sent (id: EndpointId): ((ending: Ending | 'done') => void) | undefined {
    const { endpoints, isShared } = this.view()
    const endpoint = isShared ? endpoints.find(one => one.id === id) : undefined
    if (endpoint === undefined) return undefined
    const sentAt = clock.now()
    const ended = this.shared.health.sent(id, this.shared.statementsPerPlace(endpoint, sentAt), sentAt)
    return ending => ended(ending === 'done' ? 'done' : FAILED.has(ending) ? 'failed' : 'notRun', clock.now())
  }

  /** Records the endpoint's log position. */
  answered (id: EndpointId, position: Token): void {
    const { progress, isShared } = this.view()
    if (isShared) this.shared.answered(id, position, progress, clock.age())
  }

  /** Records that the endpoint refused a read because its log was behind the required position. */
  recordBehind (id: EndpointId): void {
    this.shared.recordRefusal(id, clock.age())
  }

  /** Drops the state of an endpoint that is gone, or that was replaced under the same id. */
  removeEndpoint (id: EndpointId): void {
    this.shared.forget(id)
  }

  private checkHealth (view: View, now: Instant): void {
    const { id: group, log, metrics } = this.options
    for (const { id, isEjected, failing, answerMs } of this.shared.evaluateHealth(view, now)) {
      metrics.asides.inc({ change: isEjected ? 'aside' : 'back' })
      log.write(isEjected ? 'endpointAside' : 'endpointBack', { endpoint: id, group, failing: Number(failing.toFixed(2)), answerMs: Math.round(answerMs ?? -1) })
    }
  }
}
