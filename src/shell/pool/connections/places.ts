/** This host's places (permits for one statement or opening each) at one endpoint, granted in the order that `PlaceScheduler` decides. */

import type { CallerId } from '../../../core/id/caller.ts'
import type { EndpointId } from '../../../core/id/endpoint.ts'
import type { Instant } from '../../../core/id/instant.ts'
import type { ResponseStats } from '../../../core/pool/health/responsestats.ts'
import type { EndpointLoad } from '../../../core/pool/load/endpointload.ts'
import type { OthersLoad } from '../../../core/pool/load/othersload.ts'
import type { PlaceEvent } from '../../../core/pool/load/placeevent.ts'
import { PlaceScheduler } from '../../../core/pool/load/placescheduler.ts'
import { PlaceLimit } from '../../../core/pool/load/placelimit.ts'
import type { PlaceOrder } from '../../../core/pool/load/placeorder.ts'
import type { Ending } from '../../../core/pool/statements/ending.ts'
import type { Log } from '../../log/log.ts'
import { clock } from '../clock.ts'
import type { PoolMetrics } from '../metrics.ts'
import type { PlaceTicket } from './placeticket.ts'
import { Ticker } from './ticker.ts'

interface Options {
  readonly endpoint: EndpointId
  /** Number of places as the endpoint reports. */
  readonly places: number
  /** Number of operations that wait for a connection, and will need a place after it. */
  readonly queued: () => number
  readonly others: OthersLoad
  /** Recent answers of the endpoint, for load reports. */
  readonly answers: () => Pick<ResponseStats, 'answerMs' | 'failing'>
  readonly log: Log
  readonly metrics: PoolMetrics
  readonly chance: () => number
}

interface PlaceRequest {
  readonly rank: number
  readonly caller: string
  readonly what: PlaceOrder['what']
  /** Milliseconds until its deadline. */
  readonly remainingMs: number
  /** Latest start at which the operation meets its latency aim; undefined where aims aren't considered. */
  readonly aim?: Instant | undefined
}

type PlaceEnding = Ending | 'done' | 'notSent'
type Settle = (isGranted: boolean) => void

/** Interval of checking the queue and the limit. */
const TICK_INTERVAL_MS = 10
/** Shortest time between two log lines of the same kind. */
const LOG_INTERVAL_MS = 5000
/** Endings without an answer, for which the measured time is only a lower bound. */
const UNANSWERED: ReadonlySet<PlaceEnding> = new Set<PlaceEnding>(['broken', 'outOfTime'])

export class Places {
  private readonly scheduler = PlaceScheduler.create()
  private readonly limit: PlaceLimit
  private readonly pending = new Map<number, Settle>()
  private nextId = 1
  private readonly ticker = Ticker.create(TICK_INTERVAL_MS, () => this.step({ kind: 'tick' }))
  private shedLoggedAt = -Infinity as Instant
  private refusedLoggedAt = -Infinity as Instant
  private refused = 0
  private places: number

  private constructor (private readonly options: Options) {
    this.places = options.places
    this.limit = PlaceLimit.create(options.places, options.chance(), clock.now())
  }

  static create (options: Options): Places {
    return new Places(options)
  }

  /** Number of statements and openings that wait for a place, without those that wait for a connection. */
  get waiting (): number {
    return this.scheduler.waiting
  }

  /** This host's load at the endpoint. */
  load (): EndpointLoad {
    const { endpoint, queued } = this.options
    const now = clock.now()
    const answers = this.options.answers()
    return { endpoint, atWork: this.scheduler.atWork, waiting: this.scheduler.waiting + queued(), answerMs: answers.answerMs(now), failing: answers.failing(now) }
  }

  /** Milliseconds for which an opening occupies a place. */
  get openingMs (): number {
    return this.scheduler.openingMs(clock.now())
  }

  /** Takes in the number of places that the endpoint reports. */
  resize (places: number): void {
    if (places === this.places) return
    this.places = places
    this.limit.resize(places)
    this.options.log.write('placesChanged', { endpoint: this.options.endpoint, places })
    this.step({ kind: 'tick' })
  }

  requestPlace ({ rank, caller, what, remainingMs, aim }: PlaceRequest): PlaceTicket {
    const id = this.nextId++
    const since = clock.now()
    let grantedAt: Instant | undefined
    const granted = new Promise<boolean>(resolve => this.pending.set(id, isGranted => {
      if (isGranted) grantedAt = clock.now()
      this.options.metrics.placeSeconds.observe({ what }, (clock.now() - since) / 1000)
      resolve(isGranted)
    }))
    this.step({ kind: 'arrived', order: { id, rank, caller: caller as CallerId, deadline: since + remainingMs as Instant, aim, what } })
    const giveBack = (ending: PlaceEnding) => {
      if (grantedAt === undefined) return this.cancel(id)
      const ms = clock.now() - grantedAt
      if (what !== 'opening' && ending === 'done') this.limit.answered(ms, rank, clock.now())
      this.finish(id, ending)
      grantedAt = undefined
    }
    return { granted, cancel: () => this.cancel(id), returnPlace: giveBack }
  }

  /** Refuses all that wait, because the endpoint is unreachable. */
  refuseWaiting (): void {
    this.step({ kind: 'unreachable' })
  }

  close (): void {
    this.refuseWaiting()
    this.ticker.stop()
  }

  private cancel (id: number): void {
    const settle = this.pending.get(id)
    if (settle === undefined) return
    this.pending.delete(id)
    this.step({ kind: 'cancelled', id })
    settle(false)
  }

  private finish (id: number, ending: PlaceEnding): void {
    if (ending === 'busy') this.recordShed(clock.now())
    const isSent = ending !== 'notSent' && ending !== 'busy'
    this.step({ kind: 'finished', id, ending: !isSent ? 'notSent' : UNANSWERED.has(ending) ? 'cutOff' : 'answered' })
  }

  private step (event: PlaceEvent): void {
    const { scheduler, options: { others, endpoint, queued } } = this
    const now = clock.now()
    const demand = scheduler.atWork + scheduler.waiting + queued() + (event.kind === 'arrived' ? 1 : 0)
    const limit = this.limit.at(demand, others.at(endpoint, now), now)
    for (const { kind, id } of scheduler.step(event, limit, now)) {
      const settle = this.pending.get(id)
      this.pending.delete(id)
      if (kind === 'refuse') this.recordRefused(now)
      settle?.(kind === 'start')
    }
    if (this.scheduler.waiting > 0) this.ticker.run()
    else this.ticker.stop()
  }

  /** Lowers the limit after the endpoint refused a statement because it's full. */
  private recordShed (now: Instant): void {
    const { metrics, log, endpoint } = this.options
    this.limit.backOff(now)
    metrics.placesShed.inc()
    if (now - this.shedLoggedAt < LOG_INTERVAL_MS) return
    this.shedLoggedAt = now
    log.write('endpointFull', { endpoint, atWork: this.scheduler.atWork, waiting: this.scheduler.waiting })
  }

  private recordRefused (now: Instant): void {
    const { metrics, log, endpoint } = this.options
    metrics.placesRefused.inc()
    this.refused++
    if (now - this.refusedLoggedAt < LOG_INTERVAL_MS) return
    log.write('placesRefused', { endpoint, count: this.refused, atWork: this.scheduler.atWork, waiting: this.scheduler.waiting })
    this.refusedLoggedAt = now
    this.refused = 0
  }
}
