/** The places of one endpoint that this host may use, given out as the core decides. */

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
  /** As the endpoint tells. */
  readonly places: number
  /** Those that wait for a connection, and so for a place after it. */
  readonly queued: () => number
  readonly others: OthersLoad
  /** How the endpoint answered lately, for the reports. */
  readonly answers: () => Pick<ResponseStats, 'answerMs' | 'failing'>
  readonly log: Log
  readonly metrics: PoolMetrics
  readonly chance: () => number
}

interface Wish {
  readonly rank: number
  readonly caller: string
  readonly what: PlaceOrder['what']
  /** Milliseconds in which it's to be done. */
  readonly leftMs: number
  /** Until when it's best started; undefined where that plays no part. */
  readonly aim?: Instant | undefined
}

type PlaceEnding = Ending | 'done' | 'notSent'
type Settle = (isGranted: boolean) => void

/** How often what waits is looked through, and the limit with it. */
const TICK_MS = 10
/** At most one line in this time says that the endpoint refuses for want of room, and one that something couldn't have a place in time. */
const LOG_INTERVAL_MS = 5000
/** Endings without an answer: the true time is longer than it was waited for. */
const UNANSWERED: ReadonlySet<PlaceEnding> = new Set<PlaceEnding>(['broken', 'outOfTime'])

export class Places {
  private readonly gate = PlaceScheduler.create()
  private readonly limit: PlaceLimit
  private readonly pending = new Map<number, Settle>()
  private nextId = 1
  private readonly ticker = Ticker.create(TICK_MS, () => this.step({ kind: 'tick' }))
  private shedAt = -Infinity as Instant
  private refusedAt = -Infinity as Instant
  private refused = 0
  private places: number

  private constructor (private readonly options: Options) {
    this.places = options.places
    this.limit = PlaceLimit.create(options.places, options.chance(), clock.now())
  }

  static create (options: Options): Places {
    return new Places(options)
  }

  /** Statements and openings that wait for a place, those without a connection left out. */
  get waiting (): number {
    return this.gate.waiting
  }

  /** What this host has at the endpoint. */
  load (): EndpointLoad {
    const { endpoint, queued } = this.options
    const now = clock.now()
    const answers = this.options.answers()
    return { endpoint, atWork: this.gate.atWork, waiting: this.gate.waiting + queued(), answerMs: answers.answerMs(now), failing: answers.failing(now) }
  }

  /** How long an opening takes of a place, in milliseconds. */
  get openingMs (): number {
    return this.gate.openingMs(clock.now())
  }

  /** The endpoint tells another number of places. */
  resize (places: number): void {
    if (places === this.places) return
    this.places = places
    this.limit.resize(places)
    this.options.log.write('placesChanged', { endpoint: this.options.endpoint, places })
    this.step({ kind: 'tick' })
  }

  requestPlace ({ rank, caller, what, leftMs, aim }: Wish): PlaceTicket {
    const id = this.nextId++
    const since = clock.now()
    let grantedAt: Instant | undefined
    const granted = new Promise<boolean>(resolve => this.pending.set(id, isGranted => {
      if (isGranted) grantedAt = clock.now()
      this.options.metrics.placeSeconds.observe({ what }, (clock.now() - since) / 1000)
      resolve(isGranted)
    }))
    this.step({ kind: 'arrived', order: { id, rank, caller: caller as CallerId, deadline: since + leftMs as Instant, aim, what } })
    const giveBack = (ending: PlaceEnding) => {
      if (grantedAt === undefined) return this.cancel(id)
      const ms = clock.now() - grantedAt
      if (what !== 'opening' && ending === 'done') this.limit.answered(ms, rank, clock.now())
      this.finish(id, ending)
      grantedAt = undefined
    }
    return { granted, cancel: () => this.cancel(id), returnPlace: giveBack }
  }

  /** Tells all that wait that the endpoint is out of reach. */
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
    const { gate, options: { others, endpoint, queued } } = this
    const now = clock.now()
    const demand = gate.atWork + gate.waiting + queued() + (event.kind === 'arrived' ? 1 : 0)
    const limit = this.limit.at(demand, others.at(endpoint, now), now)
    for (const { kind, id } of gate.step(event, limit, now)) {
      const settle = this.pending.get(id)
      this.pending.delete(id)
      if (kind === 'refuse') this.recordRefused(now)
      settle?.(kind === 'start')
    }
    if (this.gate.waiting > 0) this.ticker.run()
    else this.ticker.stop()
  }

  /** The endpoint has more to do than it takes: other hosts are there too. */
  private recordShed (now: Instant): void {
    const { metrics, log, endpoint } = this.options
    this.limit.backOff(now)
    metrics.placesShed.inc()
    if (now - this.shedAt < LOG_INTERVAL_MS) return
    this.shedAt = now
    log.write('endpointFull', { endpoint, atWork: this.gate.atWork, waiting: this.gate.waiting })
  }

  private recordRefused (now: Instant): void {
    const { metrics, log, endpoint } = this.options
    metrics.placesRefused.inc()
    this.refused++
    if (now - this.refusedAt < LOG_INTERVAL_MS) return
    log.write('placesRefused', { endpoint, count: this.refused, atWork: this.gate.atWork, waiting: this.gate.waiting })
    this.refusedAt = now
    this.refused = 0
  }
}
