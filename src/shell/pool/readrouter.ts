/** Where a group's reads go, and what is counted for it where owners are picked and endpoints tell their places. */

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

/** What the group knows as a read comes. */
interface View {
  readonly endpoints: readonly Endpoint[]
  readonly primary: EndpointId | undefined
  readonly progress: LogProgress
  /** Whether owners were picked, and this host is one. */
  readonly isShared: boolean
  readonly standing: (id: EndpointId) => LogState
  readonly lender: (id: EndpointId) => ConnectionPool | undefined
  readonly isReachable: (id: EndpointId) => boolean
}

interface Read {
  /** Its endpoint's log must hold the position. */
  readonly position: Token
  /** Whose connections serve it. */
  readonly team: TeamId | undefined
  /** Endpoints that didn't do it. */
  readonly tried: ReadonlySet<EndpointId>
  /** Until its time is up, in milliseconds. */
  readonly leftMs: number
}

interface ReadPlacement {
  readonly endpoint: EndpointId
  /** The read is to be held for so long, since the endpoint won't have what it needs before; milliseconds. */
  readonly waitMs: number
}

/** Endings by which an endpoint shows that it isn't well. */
const FAILED: ReadonlySet<Ending> = new Set<Ending>(['failed', 'timeout', 'broken', 'outOfTime'])

/** The only place where what owners share about reads is replaced. */
export class ReadRouter {
  private readonly shared = ReadBalancer.create()

  private constructor (private readonly options: Options, private readonly view: () => View) {}

  static create (options: Options, view: () => View): ReadRouter {
    return new ReadRouter(options, view)
  }

  /** Where a read goes next; undefined when no endpoint is left. */
  place ({ position, team, tried, leftMs }: Read): ReadPlacement | undefined {
    const now = clock.now()
    const view = this.view()
    const all = {
      ...view,
      dataCentre: this.options.dataCentre,
      leftMs,
      queued: (id: EndpointId) => view.lender(id)?.queued ?? 0,
      needsNewConnection: (id: EndpointId) => team !== undefined && view.lender(id)?.hasIdle(team) !== true,
      mayContain: (id: EndpointId) => view.standing(id).mayContain(position, now)
    }
    if (!view.isShared || !ReadBalancer.isSupported(view.endpoints)) {
      const endpoint = readCandidates(all, position, now).find(id => !tried.has(id))
      return endpoint === undefined ? undefined : { endpoint, waitMs: 0 }
    }
    this.checkHealth(view, now)
    const placed = this.shared.place(all, position, tried, { now, age: clock.age() }, this.options.chance)
    if (placed !== undefined) this.options.metrics.readsPlaced.inc({ at: placed.endpoint === view.primary ? 'primary' : placed.waitMs > 0 ? 'replica awaited' : 'replica' })
    return placed
  }

  /** Takes what the group's other owners have at its endpoints from now on. */
  setOthersLoad (others: OthersLoad): void {
    this.shared.setOthersLoad(others)
  }

  /** How the endpoint answered this owner lately. */
  answers (id: EndpointId): ResponseStats {
    return this.shared.health.responses(id)
  }

  /** The part of its reads that the endpoint keeps, by how it served them; from 0 to 1. */
  readShare (id: EndpointId): number {
    return this.shared.health.part(id)
  }

  /** A statement of a caller goes to the endpoint; what is returned is called with how it ended. Undefined where nobody counts that, as for a host that takes the way. */
  sent (id: EndpointId): ((ending: Ending | 'done') => void) | undefined {
    const { endpoints, isShared } = this.view()
    const endpoint = isShared ? endpoints.find(one => one.id === id) : undefined
    if (endpoint === undefined) return undefined
    const sentAt = clock.now()
    const ended = this.shared.health.sent(id, this.shared.statementsPerPlace(endpoint, sentAt), sentAt)
    return ending => ended(ending === 'done' ? 'done' : FAILED.has(ending) ? 'failed' : 'notRun', clock.now())
  }

  /** The endpoint showed how far its log reaches. */
  answered (id: EndpointId, position: Token): void {
    const { progress, isShared } = this.view()
    if (isShared) this.shared.answered(id, position, progress, clock.age())
  }

  recordBehind (id: EndpointId): void {
    this.shared.recordRefusal(id, clock.age())
  }

  /** The endpoint is gone, or began anew under its id. */
  removeEndpoint (id: EndpointId): void {
    this.shared.forget(id)
  }

  private checkHealth (view: View, now: Instant): void {
    const { id: group, log, metrics } = this.options
    for (const { id, isEjected: isAside, failing, answerMs } of this.shared.evaluateHealth(view, now)) {
      metrics.asides.inc({ change: isAside ? 'aside' : 'back' })
      log.write(isAside ? 'endpointAside' : 'endpointBack', { endpoint: id, group, failing: Number(failing.toFixed(2)), answerMs: Math.round(answerMs ?? -1) })
    }
  }
}
